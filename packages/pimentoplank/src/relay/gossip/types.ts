/** State that instances report to each other. */

/** `starting`: has no configuration yet; `leaving`: accepts no new work. */
export type Stage = 'starting' | 'serving' | 'leaving'

/** Number of requests that an instance has in flight at a target. */
export interface TargetUse {
  live: number
  batch: number
  /** True when bytes of the target arrived at the instance a moment ago, on a connection of its own. */
  isAnswering?: boolean
}

/** Number of batch items that wait for a slot, by due time. */
export interface WaitingItems {
  /** Due time on the local monotonic clock, in milliseconds. */
  dueAt: number
  count: number
  /** Hash of the software version at which they must go on; undefined for any. */
  version?: number
  /**
   * Hash of the service whose slots they wait for. Undefined where all items of the sender's configuration run at one
   * service, and in reports of older versions.
   */
  service?: number
}

/** Epoch of the instance that has stored a job. */
export const FIRST_EPOCH = 1

/** Ownership of a batch job. */
export interface JobOwnership {
  job: string
  owner: string
  epoch: number
  ended: boolean
  /** True when the job certainly was accepted. */
  isAccepted: boolean
}

/** Crash of a target that an instance saw. */
export interface CrashNotice {
  /** Hash of the target's id. */
  target: number
  /** Time on the local monotonic clock, in milliseconds. */
  at: number
  /** Prompts that were about to be answered there, with the hashes of the parts that other prompts may share. */
  prompts: ReadonlyArray<{ id: bigint, parts: readonly bigint[] }>
}

/** Parts of prompts that crash targets; only prompts with all of them are known to do so. */
export interface CrashingParts {
  parts: readonly bigint[]
  /** When it was found, on the local monotonic clock in milliseconds. */
  at: number
}

/** Part of prompts that a target has answered. */
export interface AnsweredPart {
  part: bigint
  /** When the latest answer began, on the local monotonic clock in milliseconds. */
  at: number
}

/** What an instance knows of crashes. */
export interface CrashReport {
  crashes: readonly CrashNotice[]
  crashingParts: readonly CrashingParts[]
  answeredParts: readonly AnsweredPart[]
}

/** Latest answer of a target about its limit. */
export interface LimitNotice {
  /** Hash of the target's id. */
  target: number
  /** Requests a second from all instances together; undefined when it names no limit any more. */
  perSecond: number | undefined
  /** When the target answered, on the local monotonic clock in milliseconds. */
  at: number
}

/** Where a stream began, as an instance tells its peers. */
export interface StreamNotice {
  /** Hash of the id of the attempt. */
  attempt: bigint
  /** Software version of the target; undefined when it is not known for certain. */
  version: string | undefined
  /** Service of the target; undefined where an instance of an older version tells it. */
  service?: string
  /** Until when it is kept, on the local monotonic clock in milliseconds. */
  keepUntil: number
}

/** A process of a target that has said that it leaves. */
export interface LeavingNotice {
  /** Hash of the target's id. */
  target: number
  /** When the process started, in milliseconds by its own clock; undefined if its entry does not tell. */
  startedAt: number | undefined
  /** When an instance first heard it, on the local monotonic clock in milliseconds. */
  at: number
}

export interface Report extends CrashReport {
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
  /** Those of the suspects that it did not reach or that were silent, so that its path may be at fault. */
  unreached: ReadonlySet<number>
  /** True when it has lost its path to targets that answer others. */
  isCutOff: boolean
  limits: readonly LimitNotice[]
  /** Streams that began a short while ago; those of older versions may merely have been placed. */
  streams: readonly StreamNotice[]
  /** True when the streams have begun, so that their versions can't change any more. */
  areStreamsBegun: boolean
  leaving: readonly LeavingNotice[]
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
