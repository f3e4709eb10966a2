/**
 * Targets that don't tell which process answers: when items are sent there again.
 *
 * Load pattern: the path to one target resets each call for its state, so that its items are refused at once. Its slots
 * look free, and would draw each waiting item again and again while others have room.
 */

/** Refusals of items in a row because the process of a target was not known. */
export interface IdentifyFailures {
  count: number
  /** When the last one that counts came, on the monotonic clock in milliseconds. */
  at: number
  /** When the next item may be sent, on the monotonic clock in milliseconds. */
  until: number
}

/** Backoff after the first refusal, in milliseconds. */
const INITIAL_BACKOFF_MS = 250
/** Longest backoff, in milliseconds. It exceeds the longest wait for a version, as a probe begins that wait anew. */
const MAX_BACKOFF_MS = 5000

/**
 * Adds a refusal. Of items that were sent together only the first one counts.
 *
 * @param before - earlier refusals by the same process; undefined for none
 * @param sentAt - when the item was sent, on the monotonic clock in milliseconds
 */
export function addIdentifyFailure (
  before: IdentifyFailures | undefined, sentAt: number, now: number
): IdentifyFailures {
  if (before !== undefined && sentAt <= before.at) return before
  const count = (before?.count ?? 0) + 1
  return { count, at: now, until: now + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (count - 1)) }
}

/** True when the begin of an answer ends the backoff; one to an item that was sent before it says nothing new. */
export function endsIdentifyBackoff ({ at }: IdentifyFailures, sentAt: number): boolean {
  return sentAt > at
}

/** Returns how many items may start at a target to find out whether its process is known again: one at a time. */
export function countProbes ({ until }: IdentifyFailures, hasUnansweredItem: boolean, now: number): 0 | 1 {
  return now < until || hasUnansweredItem ? 0 : 1
}
