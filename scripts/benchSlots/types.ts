/** Messages between the benchmark and its child processes. */
import type { InstanceRecord, RoutingWay } from '../../packages/pimentoplank/src/shared'

export interface BenchLoad {
  way: RoutingWay
  seed: number
  requestsPerSecond: number
  durationMs: number
  deadlineMs: number
  accounts: number
  prefixes: number
  affinityTargets: number
}

export type ToProcess =
  | { type: 'list', records: InstanceRecord[] }
  | { type: 'run', load: BenchLoad }
  | { type: 'stop' }

export type FromProcess =
  | { type: 'listening', address: string }
  | { type: 'result', result: EntryResult }

export interface EntryResult {
  /** Times from the scheduled send time to the first token, in milliseconds. */
  firstTokenMs: number[]
  /** Times from the scheduled send time to the grant of a slot, in milliseconds. */
  grantMs: number[]
  /** Times from the scheduled send time to the refusal, in milliseconds. */
  refusalMs: number[]
  finished: number
  late: number
  prefixHits: number
  /** Bytes sent and received on connections to and from peers. */
  controlBytes: number
  frames: number
  cpuMs: number
}

export const BENCH_SERVICE = 'bench'
export const SLOTS_PER_TARGET = 6
export const PEER_KEY = 'benchmark-shared-key'
