/**
 * Retry policy: whether a request is sent to another target after a failure.
 *
 * Load pattern: targets that crash, hang, refuse requests or return corrupt responses under load. Retries are bounded
 * by the route's limit and the deadline, so that a failure never multiplies the load. A request that has run is refused
 * by full targets without losing what it has been answered: it tries again for as long as its caller waits.
 */
import type { Route } from '../model'

export interface TryFailure {
  /** True when the target may have run the request. */
  mayHaveRun: boolean
}

export interface RetryState {
  /** Number of targets that may have run the request so far. */
  runs: number
  /** True when a target has run it, for this attempt of the caller or an earlier one. */
  hasBegun: boolean
  /** Number of tries in which the request certainly did not run. */
  refusals: number
  /** True when a target was given up only for its silence; going back to it adds no further target. */
  hasSilentTarget: boolean
  /** True when the caller has got the beginning of a plain answer, which no other answer can continue. */
  isAnswerBegun: boolean
  /** Time left until the caller's deadline or the route's timeout, in milliseconds. */
  leftMs: number
}

/** Callers follow a retry delay of up to this share of the time until their deadline. */
export const MAX_RETRY_AFTER_SHARE = 1 / 3
/** Number of tries without a run up to which a request that never ran is still retried. */
const MAX_REFUSALS = 4
/** Minimum remaining time for another try, in milliseconds. */
export const MIN_TRY_MS = 30

/** True when the request may be sent to another target. */
export function canRetry (route: Route, failure: TryFailure, state: RetryState): boolean {
  if (state.leftMs < MIN_TRY_MS || state.isAnswerBegun) return false
  if (!failure.mayHaveRun) return state.hasBegun || state.refusals <= MAX_REFUSALS
  return isRepeatable(route) && (state.runs < route.maxAttempts || state.hasSilentTarget)
}

/** True when a request of the route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable)
}
