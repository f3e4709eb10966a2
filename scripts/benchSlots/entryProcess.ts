/** One entry instance of the benchmark: a slot scheduler, a slot client and an open-loop load generator. */
import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Pool } from 'undici'
import { createSlotScheduler } from '../../packages/pimentoplank/src/entry/slots'
import {
  createInMemoryMetrics, createPeerServer, createPeerTransports, createSilentLog, createSlotClient, createSnapshot,
  createStaticConfig, createStaticMembership, createSystemClock, hash64, serviceEntry,
  type OpenSlotStream, type SlotClient, type SlotGrant, type SlotSchedulerSettings
} from '../../packages/pimentoplank/src/shared'
import {
  BENCH_SERVICE, PEER_KEY, SLOTS_PER_TARGET, type BenchLoad, type EntryResult, type FromProcess, type ToProcess
} from './types'

const [instanceId = ''] = process.argv.slice(2)
const LOCATION = { failureDomain: 'bench-a', region: 'bench' }
const MIN_TOKENS = 20
const TOKEN_SPREAD = 40

const clock = createSystemClock()
const membership = createStaticMembership([])
const metrics = createInMemoryMetrics()
const log = createSilentLog()
const security = { sharedKey: PEER_KEY }
const config = createStaticConfig(createSnapshot(1, [
  serviceEntry.parse({ kind: 'service', name: BENCH_SERVICE, type: 'engine', slotsPerTarget: SLOTS_PER_TARGET })
]))
const schedulerSettings: Partial<SlotSchedulerSettings> = { limit: 'fixed', settleMs: 1 }
const scheduler = createSlotScheduler({
  instanceId, membership, config, clock, metrics, log, settings: schedulerSettings
})
const localSharesScheduler = createSlotScheduler({
  instanceId, membership, config, clock, metrics, log, settings: { ...schedulerSettings, ownership: 'localShares' }
})

const sockets = new Set<Socket>()
function trackSocket (message: unknown): void {
  const { socket } = message as { socket: Socket }
  sockets.add(socket)
}
subscribe('net.client.socket', trackSocket)
subscribe('net.server.socket', trackSocket)

const server = await createPeerServer({
  host: '127.0.0.1', port: 0, security, routes: (router) => scheduler.routes(router)
})
const { address } = server._unsafeUnwrap()
const peerPorts = new Set<number>([Number(address.split(':')[1])])
let frames = 0

/** Wraps a stream to this process's own scheduler so that its frames are counted. */
function countFrames (open: OpenSlotStream): OpenSlotStream {
  return async function * (input, signal) {
    for await (const frame of open(input, signal)) {
      frames += 1
      yield frame
    }
  }
}

function createClient (load: BenchLoad): SlotClient {
  const localScheduler = load.way === 'localShares' ? localSharesScheduler : { open: countFrames(scheduler.open) }
  return createSlotClient({
    ...LOCATION,
    instanceId,
    membership,
    clock,
    metrics,
    log,
    transports: createPeerTransports({ security }),
    localScheduler,
    settings: { routing: load.way, affinityTargets: load.affinityTargets }
  })
}

function countControlBytes (): number {
  const control = [...sockets].filter((socket) =>
    peerPorts.has(socket.remotePort ?? 0) || peerPorts.has(socket.localPort ?? 0))
  return control.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
}

async function run (load: BenchLoad): Promise<EntryResult> {
  const result: EntryResult = {
    firstTokenMs: [],
    grantMs: [],
    refusalMs: [],
    finished: 0,
    late: 0,
    prefixHits: 0,
    controlBytes: 0,
    frames: 0,
    cpuMs: 0
  }
  const client = createClient(load)
  const [engine] = membership.targets(BENCH_SERVICE)
  const pool = new Pool(`http://${engine!.address}`, { connections: 200 })
  const random = xoroshiro128plus(load.seed)
  let cpuBefore = process.cpuUsage()
  let isWarm = false
  const open: Promise<void>[] = []
  let sendAt = clock.now()
  const endAt = sendAt + load.durationMs
  while (sendAt < endAt) {
    sendAt += -Math.log(1 - uniformFloat64(random)) * 1000 / load.requestsPerSecond
    await delay(Math.max(0, sendAt - clock.now()))
    if (!isWarm && sendAt > endAt - load.durationMs / 2) {
      isWarm = true
      cpuBefore = process.cpuUsage()
    }
    open.push(request(load, { client, pool, random, sendAt, result }))
  }
  await Promise.all(open)
  const cpu = process.cpuUsage(cpuBefore)
  // CPU time covers the second half of the run only, when the code has been compiled.
  result.cpuMs = (cpu.user + cpu.system) / 1000
  result.controlBytes = countControlBytes()
  result.frames = frames
  await client.close()
  await pool.close()
  return result
}

interface RequestContext {
  client: SlotClient
  pool: Pool
  random: ReturnType<typeof xoroshiro128plus>
  sendAt: number
  result: EntryResult
}

async function request (load: BenchLoad, context: RequestContext): Promise<void> {
  const { client, random, sendAt, result } = context
  const prefix = Math.floor(uniformFloat64(random) ** 2 * load.prefixes)
  const account = `account-${Math.floor(uniformFloat64(random) ** 2 * load.accounts)}`
  const tokens = MIN_TOKENS + Math.floor(uniformFloat64(random) * TOKEN_SPREAD)
  const grant = await client.acquire({
    service: BENCH_SERVICE,
    workClass: 'live',
    account,
    weight: 1,
    deadlineMs: load.deadlineMs,
    prefixHash: hash64(`prefix-${prefix}`),
    excluded: []
  })
  if (grant.isErr()) {
    result.refusalMs.push(clock.now() - sendAt)
    return
  }
  result.grantMs.push(clock.now() - sendAt)
  await useSlot(grant.value, { prefix, tokens, deadlineAt: sendAt + load.deadlineMs, context })
}

interface Work {
  prefix: number
  tokens: number
  deadlineAt: number
  context: RequestContext
}

async function useSlot (grant: SlotGrant, { prefix, tokens, deadlineAt, context }: Work): Promise<void> {
  const { pool, result, sendAt } = context
  const startedAt = clock.now()
  const path = `/run?target=${grant.target.id}&prefix=${prefix}&tokens=${tokens}`
  const res = await pool.request({ method: 'POST', path })
  let firstTokenMs = 0
  for await (const chunk of res.body) {
    firstTokenMs ||= clock.now() - startedAt
    if (String(chunk) === 'hit') result.prefixHits += 1
  }
  result.firstTokenMs.push(startedAt + firstTokenMs - sendAt)
  result.finished += 1
  if (clock.now() > deadlineAt) result.late += 1
  const tokenGapMs = (clock.now() - startedAt - firstTokenMs) / tokens
  grant.release({ result: 'done', firstTokenMs, tokenGapMs })
}

function send (message: FromProcess): void {
  process.send?.(message)
}

process.on('message', (message: ToProcess) => {
  if (message.type === 'list') {
    membership.set(message.records)
    for (const record of message.records) {
      if (record.peerAddress !== undefined) peerPorts.add(Number(record.peerAddress.split(':')[1]))
    }
  }
  if (message.type === 'run') run(message.load).then((result) => send({ type: 'result', result }), () => process.exit(1))
  if (message.type === 'stop') process.exit(0)
})
send({ type: 'listening', address })
