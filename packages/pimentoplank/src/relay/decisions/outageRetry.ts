/**
 * Outages of the platform: when the caller of a job that can't be stored comes back.
 *
 * Load pattern: the platform answers no calls for seconds while jobs come. Their callers come again once, and nobody
 * knows how long it lasts: the later they come, the more of them find it back.
 */
import type { Random } from '../../shared'
import { MAX_RETRY_AFTER_SHARE } from './retries'

/** Jitter: delays lie between this share of the longest one and all of it, so that retries don't coincide. */
const MIN_SHARE_OF_LONGEST = 0.85
/** Used for callers without a deadline, in milliseconds. */
const DEFAULT_DELAY_MS = 1000

/**
 * Computes the retry delay, in milliseconds.
 *
 * @param remainingMs - time until the caller's deadline, in milliseconds; undefined when none was given
 */
export function computeOutageRetryMs (remainingMs: number | undefined, random: Random): number {
  const longest = remainingMs === undefined ? DEFAULT_DELAY_MS : remainingMs * MAX_RETRY_AFTER_SHARE
  return longest * (MIN_SHARE_OF_LONGEST + (1 - MIN_SHARE_OF_LONGEST) * random())
}
