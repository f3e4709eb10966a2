/** Time limits on promises. */
import type { Clock } from './clock'

/** Returned instead of the result of a promise that did not settle in time. */
export const TIMED_OUT: unique symbol = Symbol('timed out')

/**
 * Waits for a promise for a limited time. The promise is not cancelled on timeout.
 *
 * @param limitMs - maximum wait, in milliseconds
 * @returns the result of the promise, or `TIMED_OUT`
 */
export async function withTimeLimit<T> (
  clock: Clock,
  limitMs: number,
  promise: Promise<T>
): Promise<T | typeof TIMED_OUT> {
  const settled = new AbortController()
  const limit = clock.sleep(Math.max(0, limitMs), settled.signal).then((): typeof TIMED_OUT => TIMED_OUT)
  try {
    return await Promise.race([promise, limit])
  } finally {
    settled.abort(TIMED_OUT)
  }
}
