/** Seeds that once failed, each with the cause; CI runs them as regression tests. */

export interface Regression {
  seed: number
  seconds: number
  cause: string
  /** True for seeds that failed with the long faults of targets. */
  withLongFaults?: boolean
  /** True for seeds that failed with pauses and versions of targets. */
  withVersionFaults?: boolean
}

/** Seeds in which SIGHUP reached a starting process; before the program's first line runs, it ends the process. */
export const EARLY_SIGHUPS: readonly Regression[] = [211, 212, 2052].map((seed) => (
  { seed, seconds: 15, cause: 'SIGHUP ended the process while the program was still loading' }
))

const LOST_TAKEOVER = 'the owner of a job gave up after its takeover lost a response, while another instance had acknowledged the job'

export const REGRESSIONS: readonly Regression[] = [
  { seed: 101, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 105, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 106, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 107, seconds: 15, cause: LOST_TAKEOVER },
  { seed: 1002, seconds: 15, cause: 'an at-most-once answer broke off before its first byte, and its caller got no status' },
  { seed: 2009, seconds: 15, cause: 'the proxy dropped bytes of a stream and then passed on its end' },
  { seed: 2041, seconds: 15, cause: 'a target closed a plain answer in an orderly way that only its connection ended' }
]
