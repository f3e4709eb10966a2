/**
 * Caller retries: whether a request is a retry of its caller, who may not come again.
 *
 * Load pattern: all instances are killed amid a step up and are back within a second. Callers whose requests were cut
 * or refused come again at once, more than the targets can take; few of them have another retry left. What tells them
 * from new ones, a deadline shorter than usual, is not known yet to instances that have just started.
 */

/** Deadlines of a route's requests, as seen by this instance. */
export interface DeadlineHistory {
  /** Longest deadline so far, in milliseconds. */
  longestMs: number
  /** When the first request of the route arrived, on the monotonic clock in milliseconds. */
  since: number
}

/** A request with less than this share of the route's longest deadline is a retry of the caller. */
const RETRY_DEADLINE_SHARE = 0.95
/** Time after which new requests have shown the usual deadline, in milliseconds. */
const LEARNING_MS = 1000

/** Adds the deadline of a request to the history of its route. */
export function recordDeadline (before: DeadlineHistory | undefined, deadlineMs: number, now: number): DeadlineHistory {
  return before === undefined
    ? { longestMs: deadlineMs, since: now }
    : { ...before, longestMs: Math.max(before.longestMs, deadlineMs) }
}

/**
 * True when the request may be a retry.
 *
 * @param history - with the deadline of the request
 */
export function mayBeRetry ({ longestMs, since }: DeadlineHistory, deadlineMs: number, now: number): boolean {
  return deadlineMs < longestMs * RETRY_DEADLINE_SHARE || now - since < LEARNING_MS
}
