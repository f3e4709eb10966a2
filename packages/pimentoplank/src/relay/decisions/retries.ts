/**
 * What happens to a request after a try at a target failed.
 *
 * Load pattern: targets that crash, hang, refuse or spoil answers while traffic goes on. Tries are bounded by what the
 * route allows and by the deadline, so that a failure never multiplies the load.
 */
import type { Route } from '../model'

export interface TryFailure {
  /** True when the target may have run the request. */
  mayHaveRun: boolean
}

export interface RetryState {
  /** Targets that may have run the request so far. */
  runs: number
  /** Sends that surely did not run. */
  refusals: number
  /** Time left until the caller's deadline or the route's timeout, in milliseconds. */
  leftMs: number
}

/** Sends that targets refused before the request is given up. */
const MAX_REFUSALS = 4
/** Less time than this is not enough for another try, in milliseconds. */
const MIN_TRY_MS = 30

/** Tells whether the request may be sent to another target. */
export function mayTryAgain (route: Route, failure: TryFailure, state: RetryState): boolean {
  if (state.leftMs < MIN_TRY_MS) return false
  if (!failure.mayHaveRun) return state.refusals <= MAX_REFUSALS
  return isRepeatable(route) && state.runs < route.maxAttempts
}

/** True when a request of the route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable)
}
