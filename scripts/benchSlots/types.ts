/** Messages between the benchmark and its processes. */
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
  /** From the intended time of sending to the first token, in milliseconds. */
  firstTokenMs: number[]
  /** From asking for a slot to its grant, in milliseconds. */
  grantMs: number[]
  /** From asking to the refusal, in milliseconds. */
  refusalMs: number[]
  finished: number
  late: number
  prefixHits: number
  /** Bytes of the connections to and from peers. */
  controlBytes: number
  frames: number
  cpuMs: number
}

export const BENCH_SERVICE = 'bench'
export const SLOTS_PER_TARGET = 6
export const PEER_KEY = 'benchmark-shared-key'
