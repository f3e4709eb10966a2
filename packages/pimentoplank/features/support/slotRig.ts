/** Homes and holders of slots in one process, on one controlled clock, with connections that can fail. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Code, ConnectError, createRouterTransport, type Transport } from '@connectrpc/connect'
import { createSlotHome, type SlotHome } from '../../src/entry/slots'
import {
  createHomeOrder, createNullMetrics, createSilentLog, createSlotClient, createSnapshot, createStaticConfig,
  createStaticMembership, serviceEntry,
  type InstanceRecord, type Metrics, type PeerTransports, type SlotClient, type SlotClientSettings,
  type SlotHomeSettings, type Target
} from '../../src/shared'
import { createManualClock, type ManualClock } from './manualClock'

export const RIG_SERVICE = 'desk-lm'
const REGION = 'jo-south'
const SLOW_TURNS = 5
const FAILURE_DOMAIN = 'rum-a'

export interface SlotRigOptions {
  homes: number
  targets: number
  slots: number
  homeSettings?: Partial<SlotHomeSettings>
  clientSettings?: Partial<SlotClientSettings>
}

/** State of what connects a process to others. */
interface Gate {
  /** No connection can be made, and open ones are ended. */
  down: boolean
  /** Open connections stay, and nothing comes through. */
  silent: boolean
  /** Frames take several turns of the event loop. */
  slow: boolean
  cuts: Set<AbortController>
}

interface RigMember<Part> {
  part: Part
  metrics: Metrics
  membership: ReturnType<typeof createStaticMembership>
  gate: Gate
}

export interface SlotRig {
  clock: ManualClock
  homes: Map<string, RigMember<SlotHome>>
  holders: Map<string, RigMember<SlotClient>>
  addHolder: (id: string) => RigMember<SlotClient>
  /** Every record, whatever has been taken off the list. */
  fullList: () => InstanceRecord[]
  targetIds: () => string[]
  target: (index: number) => Target
  /** Id of the first home of a target. */
  homeOf: (index: number) => string
  /** Changes the list that members see; all of them by default. */
  setList: (change: (records: InstanceRecord[]) => InstanceRecord[], ids?: string[]) => void
  /** Ends the connections of a member, and lets it make and take no new ones. */
  kill: (id: string) => Promise<void>
  /** Keeps connections of a member open, and lets nothing through. */
  silence: (id: string) => Promise<void>
  /** Ends the open connections of a member once. */
  cut: (id: string) => Promise<void>
  settle: () => Promise<void>
  close: () => Promise<void>
}

/** Creates the homes; holders follow by `addHolder`. */
export async function createSlotRig (options: SlotRigOptions): Promise<SlotRig> {
  const clock = createManualClock()
  const fullList = [...entryRecords(options.homes), ...targetRecords(options.targets)]
  let list = fullList
  const config = createStaticConfig(createSnapshot(1, [serviceEntry.parse({
    kind: 'service', name: RIG_SERVICE, type: 'engine', slotsPerTarget: options.slots
  })]))
  const homes = new Map<string, RigMember<SlotHome>>()
  const holders = new Map<string, RigMember<SlotClient>>()

  function gateOf (id: string): Gate {
    const gate = (homes.get(id) ?? holders.get(id))?.gate
    if (gate === undefined) throw new Error(`no member ${id}`)
    return gate
  }

  function addHome (id: string): void {
    const metrics = createNullMetrics()
    const membership = createStaticMembership(list)
    const part = createSlotHome({
      instanceId: id, membership, config, clock, metrics, log: createSilentLog(), settings: options.homeSettings
    })
    homes.set(id, { part, metrics, membership, gate: createGate() })
  }

  function addHolder (id: string): RigMember<SlotClient> {
    const metrics = createNullMetrics()
    const membership = createStaticMembership(list)
    const gate = createGate()
    const part = createSlotClient({
      instanceId: id,
      failureDomain: FAILURE_DOMAIN,
      region: REGION,
      membership,
      clock,
      metrics,
      log: createSilentLog(),
      transports: createTransports(gate),
      settings: options.clientSettings,
      random: () => 0
    })
    const member = { part, metrics, membership, gate }
    holders.set(id, member)
    return member
  }

  function createTransports (gate: Gate): PeerTransports {
    return {
      to: (homeId) => {
        const home = homes.get(homeId)!
        return guard(createRouterTransport((router) => { home.part.routes(router) }), [gate, home.gate])
      },
      drop: () => undefined,
      close: () => undefined
    }
  }

  async function cut (id: string): Promise<void> {
    const gate = gateOf(id)
    for (const connection of [...gate.cuts]) connection.abort()
    await clock.advance(0)
  }

  for (const record of entryRecords(options.homes)) addHome(record.id)
  const order = createHomeOrder(createStaticMembership(list))
  await clock.advance(options.homeSettings?.settleMs ?? 1000)

  const rig: SlotRig = {
    clock,
    homes,
    holders,
    addHolder,
    fullList: () => fullList,
    targetIds: () => list.filter((record) => record.service !== undefined).map((record) => record.id),
    target: (index) => fullList.find((record): record is Target => record.id === `target-${index}`)!,
    homeOf: (index) => order.of(rig.target(index))[0]!.id,
    setList: (change, ids = [...homes.keys(), ...holders.keys()]) => {
      list = change(list)
      for (const id of ids) (homes.get(id) ?? holders.get(id))?.membership.set(list)
    },
    kill: async (id) => {
      gateOf(id).down = true
      await cut(id)
    },
    silence: async (id) => {
      gateOf(id).silent = true
      await clock.advance(0)
    },
    cut,
    settle: async () => await clock.advance(0),
    close: async () => {
      for (const holder of holders.values()) await holder.part.close()
      for (const home of homes.values()) await home.part.close()
    }
  }
  return rig
}

function entryRecords (count: number): InstanceRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `entry-${index}`,
    role: 'entry',
    address: `entry-${index}`,
    peerAddress: `entry-${index}`,
    failureDomain: FAILURE_DOMAIN,
    region: REGION,
    state: 'live'
  }))
}

function targetRecords (count: number): InstanceRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `target-${index}`,
    role: 'engine',
    service: RIG_SERVICE,
    address: `target-${index}`,
    failureDomain: FAILURE_DOMAIN,
    region: REGION,
    state: 'live'
  }))
}

function createGate (): Gate {
  return { down: false, silent: false, slow: false, cuts: new Set() }
}

/** A transport whose streams obey the gates at both of its ends. */
function guard (inner: Transport, gates: readonly Gate[]): Transport {
  return {
    unary: inner.unary,
    stream: async (method, signal, timeoutMs, header, input, contextValues) => {
      if (gates.some((gate) => gate.down)) throw new ConnectError('refused', Code.Unavailable)
      const connection = new AbortController()
      // Through a silent connection the other end doesn't learn that this one has given it up.
      signal?.addEventListener('abort', () => { if (!isSilent(gates)) connection.abort() })
      for (const gate of gates) gate.cuts.add(connection)
      const res = await inner.stream(
        method, connection.signal, timeoutMs, header, pass(input, gates, connection.signal), contextValues)
      return { ...res, message: pass(res.message, gates, connection.signal) }
    }
  }
}

async function turns (count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await nextTurn()
}

function isSilent (gates: readonly Gate[]): boolean {
  return gates.some((gate) => gate.silent)
}

/** Passes frames on while no gate is silent. */
async function * pass<T> (frames: AsyncIterable<T>, gates: readonly Gate[], signal: AbortSignal): AsyncGenerator<T> {
  for await (const frame of frames) {
    if (gates.some((gate) => gate.slow)) await turns(SLOW_TURNS)
    if (isSilent(gates)) await aborted(signal)
    if (signal.aborted) return
    yield frame
  }
}

async function aborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
