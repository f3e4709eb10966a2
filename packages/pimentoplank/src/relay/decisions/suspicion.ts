/**
 * How long a target that failed a request is left out.
 *
 * Load pattern: some targets fail part or all of their requests while they look well, or go down and up by turns, and
 * most answers of all others are whole. One failure may be chance, so it costs a target little; a target that fails
 * again soon after it came back is left out for longer each time.
 */

export interface SuspicionRules {
  /** Time for which a target is left out after its first failure, in milliseconds. */
  firstMs: number
  /** Longest time for which it is left out, in milliseconds. */
  longestMs: number
  /** Time in which the weight of earlier failures falls to a third, in milliseconds. */
  memoryMs: number
}

/** What is remembered of a target's failures. */
export interface FailureRecord {
  /** Failures so far, each weighing less the older it is. */
  weight: number
  /** When the weight was last brought up to date, on the monotonic clock. */
  at: number
}

export interface Suspicion {
  record: FailureRecord
  /** Time for which the target is to be left out from now, in milliseconds. */
  forMs: number
}

/**
 * Takes in a failure.
 *
 * @param before - what is remembered of the target
 * @param now - time on the monotonic clock, in milliseconds
 */
export function suspectAfterFailure (before: FailureRecord | undefined, now: number, rules: SuspicionRules): Suspicion {
  const earlier = before === undefined ? 0 : before.weight * Math.exp((before.at - now) / rules.memoryMs)
  return {
    record: { weight: earlier + 1, at: now },
    forMs: Math.min(rules.longestMs, rules.firstMs * 2 ** earlier)
  }
}
