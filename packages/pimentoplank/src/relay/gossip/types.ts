/** State that instances report to each other. */

/** `starting`: has no configuration yet; `leaving`: accepts no new work. */
export type Stage = 'starting' | 'serving' | 'leaving'

/** Number of requests that an instance has in flight at a target. */
export interface TargetUse {
  live: number
  batch: number
}

/** Number of batch items that wait for a slot, by due time. */
export interface WaitingItems {
  /** Due time on the local monotonic clock, in milliseconds. */
  dueAt: number
  count: number
}

/** Ownership of a batch job. */
export interface JobOwnership {
  job: string
  owner: string
  epoch: number
  ended: boolean
}

/** Content on which targets crashed. */
export interface CrashRecord {
  /** Hash of path and body. */
  content: bigint
  /** Hashes of the ids of targets whose connection broke as they began to run it. */
  targets: readonly number[]
}

export interface Report {
  instance: string
  /** Wall clock time at which the process started, in milliseconds. */
  incarnation: number
  sequence: number
  stage: Stage
  callerAddress: string
  peerAddress: string
  failureDomain: string
  region: string
  /** By hash of the target's id. */
  uses: ReadonlyMap<number, TargetUse>
  waiting: readonly WaitingItems[]
  knownPeers: readonly string[]
  jobs: readonly JobOwnership[]
  suspects: ReadonlySet<number>
  crashes: readonly CrashRecord[]
  configRevision: number
  /** Tokens of items that have no result yet, by hash of the job's id. */
  openJobs: ReadonlyMap<number, number>
}

/** State of another instance according to its latest report. */
export interface PeerView {
  report: Report
  /** Arrival of the latest datagram on the monotonic clock, in milliseconds. */
  lastReceivedAt: number
}
