/**
 * Failure detection: for how long a target that failed a request is excluded.
 *
 * Load pattern: some targets fail part or all of their requests while they appear healthy, or restart repeatedly, while
 * most responses of the others are complete. A single failure may be chance, so the first exclusion is short; it grows
 * exponentially when a target fails again soon after its return.
 */

export interface SuspicionRules {
  /** Exclusion after the first failure, in milliseconds. */
  initialMs: number
  /** Longest exclusion, in milliseconds. */
  maxMs: number
  /** Time constant of the decay of earlier failures, in milliseconds; their weight falls to about a third (1/e). */
  decayMs: number
}

/** Failure history of a target. */
export interface FailureRecord {
  /** Number of failures, each weighted down exponentially with its age. */
  weight: number
  /** When the weight was last updated, on the monotonic clock in milliseconds. */
  at: number
}

export interface Suspicion {
  record: FailureRecord
  /** Time for which the target is excluded from now on, in milliseconds. */
  forMs: number
}

/**
 * Adds a failure to a target's history and computes its exclusion.
 *
 * @param before - history of the target; undefined when it has none
 * @param now - time on the monotonic clock, in milliseconds
 */
export function computeSuspicion (before: FailureRecord | undefined, now: number, rules: SuspicionRules): Suspicion {
  const earlier = before === undefined ? 0 : before.weight * Math.exp((before.at - now) / rules.decayMs)
  return {
    record: { weight: earlier + 1, at: now },
    forMs: Math.min(rules.maxMs, rules.initialMs * 2 ** earlier)
  }
}
