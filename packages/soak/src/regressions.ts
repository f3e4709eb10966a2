/** Seeds that once failed, each with the cause; CI runs them as regression tests. */

export interface Regression {
  seed: number
  seconds: number
  cause: string
  /** True for seeds that failed with the long faults of targets. */
  withLongFaults?: boolean
  /** True for seeds that failed with pauses and versions of targets. */
  withVersionFaults?: boolean
  /** True for seeds that failed with targets that say that they leave. */
  withLeavingTargets?: boolean
  /** True for seeds that failed with instances that were cut off from all targets. */
  withCutInstances?: boolean
}

/** Seeds in which SIGHUP reached a starting process; before the program's first line runs, it ends the process. */
export const EARLY_SIGHUPS: readonly Regression[] = [211, 212, 2052].map((seed) => (
  { seed, seconds: 15, cause: 'SIGHUP ended the process while the program was still loading' }
))

const LOST_TAKEOVER = 'the owner of a job gave up after its takeover lost a response, while another instance had acknowledged the job'

const MIXED_VERSIONS = 'streams and items went on at targets of another software version'
const CUT_PAUSE = 'a run was given up in a pause of its target, and then refused like a new request'
const withEveryFault = { seconds: 15, withLongFaults: true, withVersionFaults: true }

/** Seeds in which streams were cut in pauses of sound targets, or joined events of two software versions. */
export const STREAM_REGRESSIONS: readonly Regression[] = [
  { seed: 2, cause: MIXED_VERSIONS, ...withEveryFault },
  { seed: 8, cause: MIXED_VERSIONS, ...withEveryFault },
  { seed: 9, cause: CUT_PAUSE, ...withEveryFault },
  { seed: 14, cause: CUT_PAUSE, ...withEveryFault },
  { seed: 18, cause: `${CUT_PAUSE}, or sent to a target that had just crashed`, ...withEveryFault }
]

const OLD_ENTRY = 'a target came back under its id at another version while the store could not be reached'

/** Seeds in which instances placed streams by an entry that was older than its target. */
export const OLD_ENTRY_REGRESSIONS: readonly Regression[] = [{ seed: 7026, cause: OLD_ENTRY, ...withEveryFault }]

const LOADING = 'a program ran before its hash functions were loaded, and ended'

/** Seeds in which a program that was started again ran before all of it was loaded. */
export const LOADING_REGRESSIONS: readonly Regression[] = [11001, 11005, 11008, 11010].map((seed) => (
  { seed, cause: LOADING, ...withEveryFault, withLeavingTargets: true }
))

const STRANDED = 'an instance without a path to the targets had no other way for its requests'

/** Seeds in which instances that were cut off from all targets served hardly any request. */
export const CUT_REGRESSIONS: readonly Regression[] = [2, 6].map((seed) => (
  { seed, cause: STRANDED, ...withEveryFault, withLeavingTargets: true, withCutInstances: true }
))

export const REGRESSIONS: readonly Regression[] = [
  { seed: 101, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 105, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 106, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 107, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 1002, seconds: 15, cause: 'an at-most-once answer broke off before its first byte, and its caller got no status' },
  { seed: 2009, seconds: 15, cause: 'the proxy dropped bytes of a stream and then passed on its end' },
  { seed: 2041, seconds: 15, cause: 'a target closed a plain answer in an orderly way that only its connection ended' }
]
