/** What instances tell each other all the time. */

/** `starting`: knows no configuration yet; `leaving`: takes no new work. */
export type Stage = 'starting' | 'serving' | 'leaving'

/** Requests of one instance that are at a target now. */
export interface TargetUse {
  live: number
  batch: number
}

/** Batch items that wait for a slot. */
export interface WaitingItems {
  /** Due time on the receiver's monotonic clock. */
  dueAt: number
  count: number
}

export interface JobNote {
  job: string
  owner: string
  epoch: number
  ended: boolean
}

export interface CrashNote {
  /** Hash of path and body. */
  content: bigint
  /** Hashes of the targets that broke off as they began to run it. */
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
  jobs: readonly JobNote[]
  suspects: ReadonlySet<number>
  crashes: readonly CrashNote[]
  configRevision: number
  /** Tokens of items without a result, by hash of the job's id. */
  openJobs: ReadonlyMap<number, number>
}

/** Another instance, as its last report shows it. */
export interface PeerView {
  report: Report
  /** When the report arrived, on the monotonic clock. */
  heardAt: number
}
