/** The platform stand-in: combines state, fault injection and HTTP server. */
import { createSystemClock, type Clock, type InstanceRecord, type StoredObject } from 'pimentoplank/shared'
import { createRestartableServer, type ListenOptions, type StandinServer } from '../shared'
import { createPlatformApp } from './app'
import { createPlatformFaults, type PlatformFaults } from './faults'
import { createGates, type Gates } from './gates'
import { createLaggingInstanceList, type LaggingInstanceList } from './laggingInstanceList'
import { createObjectStore, type ObjectReader, type ObjectStore, type ObjectStoreOptions } from './objectStore'
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
  getStats: () => PlatformStats
  resetStats: () => void
  /** Returns every object of a kind, bypassing statistics, rate limits and faults. */
  readAll: (kind: string) => StoredObject[]
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
  instances: LaggingInstanceList
  weights: WeightStore
  gates: Gates
  stats: StatsRecorder
  writeLimiter: RateLimiter
  readLimiter: RateLimiter
  faults: Required<PlatformFaults>
  /** Returns the store, or its snapshot while reads are stale. */
  getReader: () => ObjectReader
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
    getStats: state.stats.read,
    resetStats: state.stats.reset,
    readAll: state.store.getAll,
    putObject: (kind, name, value) => {
      state.store.put(kind, name, { value, writeId: 'control' }, JSON.stringify(value).length)
    },
    compact: state.store.compact
  }
}

function createPlatformState (options: PlatformStandinOptions): PlatformState {
  const clock = options.clock ?? createSystemClock()
  const store = createObjectStore(options)
  const instances = createLaggingInstanceList(clock)
  const faults = createPlatformFaults(options.listLagMs ?? 0)
  let storeSnapshot: ObjectReader | undefined
  let instancesSnapshot: InstanceRecord[] | undefined

  function setFaults (changes: PlatformFaults): void {
    Object.assign(faults, changes)
    if (changes.staleReads !== undefined) storeSnapshot = changes.staleReads ? store.createSnapshot() : undefined
    if (changes.staleInstances !== undefined) {
      instancesSnapshot = changes.staleInstances ? instances.read(faults.listLagMs) : undefined
    }
    store.notifyAll()
  }

  return {
    clock,
    token: options.token,
    store,
    instances,
    weights: createWeightStore(clock, options),
    gates: createGates(),
    stats: createStatsRecorder(),
    writeLimiter: createRateLimiter(clock, options.writesPerSecond),
    readLimiter: createRateLimiter(clock, options.readsPerSecond),
    faults,
    getReader: () => storeSnapshot ?? store,
    listInstances: () => instancesSnapshot ?? instances.read(faults.listLagMs),
    setFaults
  }
}
