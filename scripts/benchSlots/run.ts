/** Compares the routing modes on real processes over loopback; prints a JSON line with the summary of each run. */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { command, number, option, run, string } from 'cmd-ts'
import { build } from 'hdr-histogram-js'
import { ROUTING_WAYS, type InstanceRecord, type RoutingWay } from '../../packages/pimentoplank/src/shared'
import { BENCH_SERVICE, type BenchLoad, type EntryResult, type FromProcess, type ToProcess } from './types'

const LOCATION = { failureDomain: 'bench-a', region: 'bench', state: 'live' } as const
const US_PER_MS = 1000
const PROMPT_REFUSAL_MS = 50

interface BenchOptions {
  entries: number
  targets: number
  requestsPerSecond: number
  seconds: number
  repeats: number
  deadlineMs: number
  accounts: number
  ways: string
  affinity: string
}

interface RunSummary extends RunChoice {
  finished: number
  refusedShare: number
  lateShare: number
  hitShare: number
  firstTokenP50Ms: number
  firstTokenP99Ms: number
  grantP50Ms: number
  grantP99Ms: number
  refusalP99Ms: number
  /** Share of the refusals that arrived within 50 ms. */
  promptRefusalShare: number
  controlBytesPerRequest: number
  controlBytesPerSecondAndEntry: number
  cpuMsPerRequest: number
}

function startProcess (file: string, args: string[]): ChildProcess {
  return fork(fileURLToPath(new URL(file, import.meta.url)), args, { execArgv: ['--import', 'tsx'] })
}

async function waitForAddress (child: ChildProcess): Promise<string> {
  const [message] = await once(child, 'message') as [FromProcess]
  if (message.type !== 'listening') throw new Error(`unexpected ${message.type}`)
  return message.address
}

function sendMessage (child: ChildProcess, message: ToProcess): void {
  child.send(message)
}

interface RunChoice {
  way: RoutingWay
  affinityTargets: number
  repeat: number
}

async function runOnce (options: BenchOptions, choice: RunChoice): Promise<RunSummary> {
  const { way, affinityTargets, repeat } = choice
  const engines = startProcess('./targetsProcess.ts', [])
  const entries = Array.from({ length: options.entries }, (_, index) =>
    startProcess('./entryProcess.ts', [`entry-${index}`]))
  const [engineAddress, ...addresses] = await Promise.all([engines, ...entries].map(waitForAddress))
  const records: InstanceRecord[] = [
    ...addresses.map((address, index) => ({
      ...LOCATION, id: `entry-${index}`, role: 'entry' as const, address, peerAddress: address
    })),
    ...Array.from({ length: options.targets }, (_, index) => ({
      ...LOCATION, id: `bench-target-${index}`, role: 'engine' as const, service: BENCH_SERVICE, address: engineAddress!
    }))
  ]
  for (const entry of entries) sendMessage(entry, { type: 'list', records })
  const results = await Promise.all(entries.map(async (entry, index) => {
    const load: BenchLoad = {
      way,
      seed: repeat * 1000 + index,
      requestsPerSecond: options.requestsPerSecond / options.entries,
      durationMs: options.seconds * 1000,
      deadlineMs: options.deadlineMs,
      accounts: options.accounts,
      prefixes: 60,
      affinityTargets
    }
    sendMessage(entry, { type: 'run', load })
    const [message] = await once(entry, 'message') as [FromProcess]
    if (message.type !== 'result') throw new Error(`unexpected ${message.type}`)
    return message.result
  }))
  const children = [engines, ...entries]
  const exits = children.map(async (child) => await once(child, 'exit'))
  for (const child of children) sendMessage(child, { type: 'stop' })
  await Promise.all(exits)
  return summarize(options, choice, results)
}

function summarize (options: BenchOptions, choice: RunChoice, results: EntryResult[]): RunSummary {
  const sum = (pick: (result: EntryResult) => number): number =>
    results.reduce((total, result) => total + pick(result), 0)
  const finished = sum((result) => result.finished)
  const refused = sum((result) => result.refusalMs.length)
  const requests = finished + refused
  const refusals = results.flatMap((result) => result.refusalMs)
  const controlBytes = sum((result) => result.controlBytes)
  const firstToken = computePercentiles(results.flatMap((result) => result.firstTokenMs))
  const grant = computePercentiles(results.flatMap((result) => result.grantMs))
  return {
    ...choice,
    finished,
    refusedShare: round(refused / requests),
    lateShare: round(sum((result) => result.late) / requests),
    hitShare: round(sum((result) => result.prefixHits) / finished),
    firstTokenP50Ms: firstToken.p50,
    firstTokenP99Ms: firstToken.p99,
    grantP50Ms: grant.p50,
    grantP99Ms: grant.p99,
    refusalP99Ms: computePercentiles(refusals).p99,
    promptRefusalShare: round(refusals.filter((ms) => ms <= PROMPT_REFUSAL_MS).length / Math.max(1, refusals.length)),
    controlBytesPerRequest: round(controlBytes / requests),
    controlBytesPerSecondAndEntry: round(controlBytes / options.seconds / options.entries),
    cpuMsPerRequest: round(sum((result) => result.cpuMs) / (requests / 2))
  }
}

function computePercentiles (valuesMs: number[]): { p50: number, p99: number } {
  const histogram = build({ numberOfSignificantValueDigits: 3, autoResize: true })
  for (const value of valuesMs) histogram.recordValue(Math.max(0, Math.round(value * US_PER_MS)))
  const at = (percentile: number): number => round(histogram.getValueAtPercentile(percentile) / US_PER_MS)
  return { p50: at(50), p99: at(99) }
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}

await run(command({
  name: 'benchSlots',
  args: {
    entries: option({ type: number, long: 'entries', defaultValue: () => 6 }),
    targets: option({ type: number, long: 'targets', defaultValue: () => 12 }),
    requestsPerSecond: option({ type: number, long: 'rate', defaultValue: () => 120 }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 8 }),
    repeats: option({ type: number, long: 'repeats', defaultValue: () => 3 }),
    deadlineMs: option({ type: number, long: 'deadline', defaultValue: () => 2000 }),
    affinity: option({ type: string, long: 'affinity', defaultValue: () => '1' }),
    accounts: option({ type: number, long: 'accounts', defaultValue: () => 200 }),
    ways: option({ type: string, long: 'ways', defaultValue: () => ROUTING_WAYS.join() })
  },
  handler: async (options) => {
    const ways = options.ways.split(',') as RoutingWay[]
    const depths = options.affinity.split(',').map(Number)
    for (let repeat = 1; repeat <= options.repeats; repeat += 1) {
      for (const way of ways) {
        for (const affinityTargets of depths) {
          console.log(JSON.stringify(await runOnce(options, { way, affinityTargets, repeat })))
        }
      }
    }
  }
}), process.argv.slice(2))
