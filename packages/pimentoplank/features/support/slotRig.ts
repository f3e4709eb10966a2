/** Owners and holders of slots in one process, on one manual clock, with connections that can fail. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Code, ConnectError, createRouterTransport, type Transport } from '@connectrpc/connect'
import { createSlotScheduler, type SlotScheduler } from '../../src/entry/slots'
import {
  createOwnerOrder, createInMemoryMetrics, createSilentLog, createSlotClient, createSnapshot, createStaticConfig,
  createStaticMembership, serviceEntry,
  type InstanceRecord, type Metrics, type PeerTransports, type SlotClient, type SlotClientSettings,
  type SlotSchedulerSettings, type Target
} from '../../src/shared'
import { createManualClock, type ManualClock } from './manualClock'

export const RIG_SERVICE = 'desk-lm'
const REGION = 'jo-south'
const SLOW_FRAME_TURNS = 5
const FAILURE_DOMAIN = 'rum-a'

export interface SlotRigOptions {
  owners: number
  targets: number
  slots: number
  settings?: Partial<SlotSchedulerSettings>
  clientSettings?: Partial<SlotClientSettings>
}

/** Faults of the connections between a process and the others. */
interface Gate {
  /** New connections are refused; open ones have been closed. */
  down: boolean
  /** Connections stay open but deliver nothing. */
  silent: boolean
  /** Each frame is delayed by several turns of the event loop. */
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
  owners: Map<string, RigMember<SlotScheduler>>
  holders: Map<string, RigMember<SlotClient>>
  addHolder: (id: string) => RigMember<SlotClient>
  /** Returns all records, including those removed from the membership list. */
  getAllRecords: () => InstanceRecord[]
  getTargetIds: () => string[]
  getTarget: (index: number) => Target
  /** Returns the id of a target's first owner. */
  getOwnerId: (index: number) => string
  /** Changes the membership list of some members, by default of all. */
  changeMembership: (change: (records: InstanceRecord[]) => InstanceRecord[], ids?: string[]) => void
  /** Closes the connections of a member and refuses new ones in both directions. */
  kill: (id: string) => Promise<void>
  /** Keeps the connections of a member open but delivers nothing. */
  silence: (id: string) => Promise<void>
  /** Closes the open connections of a member; new ones are accepted. */
  cut: (id: string) => Promise<void>
  settle: () => Promise<void>
  close: () => Promise<void>
}

/** Creates the owners; `addHolder` adds holders. */
export async function createSlotRig (options: SlotRigOptions): Promise<SlotRig> {
  const clock = createManualClock()
  const allRecords = [...entryRecords(options.owners), ...targetRecords(options.targets)]
  let members = allRecords
  const config = createStaticConfig(createSnapshot(1, [serviceEntry.parse({
    kind: 'service', name: RIG_SERVICE, type: 'engine', slotsPerTarget: options.slots
  })]))
  const slotOwners = new Map<string, RigMember<SlotScheduler>>()
  const holders = new Map<string, RigMember<SlotClient>>()

  function getGate (id: string): Gate {
    const gate = (slotOwners.get(id) ?? holders.get(id))?.gate
    if (gate === undefined) throw new Error(`unknown rig member ${id}`)
    return gate
  }

  function addOwner (id: string): void {
    const metrics = createInMemoryMetrics()
    const membership = createStaticMembership(members)
    const part = createSlotScheduler({
      instanceId: id, membership, config, clock, metrics, log: createSilentLog(), settings: options.settings
    })
    slotOwners.set(id, { part, metrics, membership, gate: createGate() })
  }

  function addHolder (id: string): RigMember<SlotClient> {
    const metrics = createInMemoryMetrics()
    const membership = createStaticMembership(members)
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
      get: (ownerId) => {
        const owner = slotOwners.get(ownerId)!
        return applyGates(createRouterTransport((router) => { owner.part.routes(router) }), [gate, owner.gate])
      },
      disconnect: () => undefined,
      close: () => undefined
    }
  }

  async function cut (id: string): Promise<void> {
    const gate = getGate(id)
    for (const connection of [...gate.cuts]) connection.abort()
    await clock.advance(0)
  }

  for (const record of entryRecords(options.owners)) addOwner(record.id)
  const ownerOrder = createOwnerOrder(createStaticMembership(members))
  await clock.advance(options.settings?.settleMs ?? 1000)

  const rig: SlotRig = {
    clock,
    owners: slotOwners,
    holders,
    addHolder,
    getAllRecords: () => allRecords,
    getTargetIds: () => members.filter((record) => record.service !== undefined).map((record) => record.id),
    getTarget: (index) => allRecords.find((record): record is Target => record.id === `target-${index}`)!,
    getOwnerId: (index) => ownerOrder.getOwners(rig.getTarget(index))[0]!.id,
    changeMembership: (change, ids = [...slotOwners.keys(), ...holders.keys()]) => {
      members = change(members)
      for (const id of ids) (slotOwners.get(id) ?? holders.get(id))?.membership.set(members)
    },
    kill: async (id) => {
      getGate(id).down = true
      await cut(id)
    },
    silence: async (id) => {
      getGate(id).silent = true
      await clock.advance(0)
    },
    cut,
    settle: async () => await clock.advance(0),
    close: async () => {
      for (const holder of holders.values()) await holder.part.close()
      for (const owner of slotOwners.values()) await owner.part.close()
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

/** Wraps a transport so that its streams show the faults of the gates at both ends. */
function applyGates (inner: Transport, gates: readonly Gate[]): Transport {
  return {
    unary: inner.unary,
    stream: async (method, signal, timeoutMs, header, input, contextValues) => {
      if (gates.some((gate) => gate.down)) throw new ConnectError('refused', Code.Unavailable)
      const connection = new AbortController()
      // A silent connection doesn't deliver the abort to the other end.
      signal?.addEventListener('abort', () => { if (!isSilent(gates)) connection.abort() })
      for (const gate of gates) gate.cuts.add(connection)
      const res = await inner.stream(
        method, connection.signal, timeoutMs, header, relayFrames(input, gates, connection.signal), contextValues)
      return { ...res, message: relayFrames(res.message, gates, connection.signal) }
    }
  }
}

async function waitTurns (count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await nextTurn()
}

function isSilent (gates: readonly Gate[]): boolean {
  return gates.some((gate) => gate.silent)
}

/** Forwards frames while no gate is silent. */
async function * relayFrames<T> (
  frames: AsyncIterable<T>, gates: readonly Gate[], signal: AbortSignal
): AsyncGenerator<T> {
  for await (const frame of frames) {
    if (gates.some((gate) => gate.slow)) await waitTurns(SLOW_FRAME_TURNS)
    if (isSilent(gates)) await waitForAbort(signal)
    if (signal.aborted) return
    yield frame
  }
}

async function waitForAbort (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
