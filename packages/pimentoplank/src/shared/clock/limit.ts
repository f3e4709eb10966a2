/** Time limits on promises. */
import type { Clock } from './clock'

/** Stands for a promise that did not settle in time. */
export const TIMED_OUT: unique symbol = Symbol('timed out')

/**
 * Waits for a promise for a bounded time.
 *
 * @param limitMs - longest wait, in milliseconds
 * @returns what the promise resolves to, or `TIMED_OUT`; the promise itself goes on
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
