/** The platform stand-in: combines state, fault injection and HTTP server. */
import { createSystemClock, type Clock, type InstanceRecord, type StoredObject } from 'pimentoplank/shared'
import { createRestartableServer, type ListenOptions, type StandinServer } from '../shared'
import { createPlatformApp } from './app'
import { createPlatformFaults, type PlatformFaults } from './faults'
import { createGates, type Gates } from './gates'
import { createLaggingList, type LaggingList } from './laggingList'
import { createObjectStore, type ObjectReads, type ObjectStore, type ObjectStoreOptions } from './objectStore'
import { createRateLimiter, type RateLimiter } from './rateLimiter'
import { createStatsRecorder, type PlatformStats, type StatsRecorder } from './stats'
import { createWeightStore, type WeightStore, type WeightStoreOptions } from './weightStore'

export interface PlatformStandinOptions extends ListenOptions, ObjectStoreOptions, WeightStoreOptions {
  clock?: Clock
  /** Bearer token required of every call; none by default. */
  token?: string
  /** Rate limit of writes, in calls per second; unlimited by default. */
  writesPerSecond?: number
  /** Rate limit of reads including watches, in calls per second; unlimited by default. */
  readsPerSecond?: number
  /** Delay of the instance list, in milliseconds. */
  listLagMs?: number
}

export interface PlatformStandin {
  start: () => Promise<StandinServer>
  close: () => Promise<void>
  setFaults: (faults: PlatformFaults) => void
  /** Gates that block calls at an exact step. */
  gates: Gates
  putInstance: (record: InstanceRecord) => void
  removeInstance: (id: string) => void
  stats: () => PlatformStats
  resetStats: () => void
  /** Returns every object of a kind, bypassing statistics, rate limits and faults. */
  objects: (kind: string) => StoredObject[]
  /** Writes an object unconditionally, such as one left by an older version. */
  putObject: (kind: string, name: string, value: unknown) => void
  /** Discards the event history, so that clients of watches must list again. */
  compact: () => void
}

/** State shared by the routes of the stand-in. */
export interface PlatformState {
  clock: Clock
  token: string | undefined
  store: ObjectStore
  instances: LaggingList
  weights: WeightStore
  gates: Gates
  stats: StatsRecorder
  writes: RateLimiter
  reads: RateLimiter
  faults: Required<PlatformFaults>
  /** Returns the store, or its snapshot while reads are stale. */
  source: () => ObjectReads
  listInstances: () => InstanceRecord[]
  setFaults: (faults: PlatformFaults) => void
}

/** Creates a stand-in; call `start` to listen. */
export function createPlatformStandin (options: PlatformStandinOptions = {}): PlatformStandin {
  const state = createPlatformState(options)
  const server = createRestartableServer(createPlatformApp(state), options)
  return {
    start: server.start,
    close: server.close,
    setFaults: state.setFaults,
    gates: state.gates,
    putInstance: state.instances.put,
    removeInstance: state.instances.remove,
    stats: state.stats.read,
    resetStats: state.stats.reset,
    objects: state.store.all,
    putObject: (kind, name, value) => {
      state.store.put(kind, name, { value, writeId: 'control' }, JSON.stringify(value).length)
    },
    compact: state.store.compact
  }
}

function createPlatformState (options: PlatformStandinOptions): PlatformState {
  const clock = options.clock ?? createSystemClock()
  const store = createObjectStore(options)
  const instances = createLaggingList(clock)
  const faults = createPlatformFaults(options.listLagMs ?? 0)
  let storeSnapshot: ObjectReads | undefined
  let instancesSnapshot: InstanceRecord[] | undefined

  function setFaults (changes: PlatformFaults): void {
    Object.assign(faults, changes)
    if (changes.staleReads !== undefined) storeSnapshot = changes.staleReads ? store.copy() : undefined
    if (changes.staleInstances !== undefined) {
      instancesSnapshot = changes.staleInstances ? instances.read(faults.listLagMs) : undefined
    }
    store.wakeAll()
  }

  return {
    clock,
    token: options.token,
    store,
    instances,
    weights: createWeightStore(clock, options),
    gates: createGates(),
    stats: createStatsRecorder(),
    writes: createRateLimiter(clock, options.writesPerSecond),
    reads: createRateLimiter(clock, options.readsPerSecond),
    faults,
    source: () => storeSnapshot ?? store,
    listInstances: () => instancesSnapshot ?? instances.read(faults.listLagMs),
    setFaults
  }
}
