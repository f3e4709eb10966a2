/** Limits the rate at which weights are ordered, so that the weight store is not overloaded. */
import { MS_PER_SECOND, type Clock } from '../shared'

export interface LoadRateLimiter {
  /** Returns whether a load of this size may be ordered now; if so, it counts against the rate. */
  tryAcquire: (megabytes: number) => boolean
}

/**
 * Creates a rate limiter.
 *
 * @param mbPerSecond - highest rate, in megabytes a second
 */
export function createLoadRateLimiter (clock: Clock, mbPerSecond: number): LoadRateLimiter {
  let nextAllowedAt = -Infinity
  return {
    tryAcquire: (megabytes) => {
      const now = clock.now()
      if (now < nextAllowedAt) return false
      nextAllowedAt = now + megabytes / mbPerSecond * MS_PER_SECOND
      return true
    }
  }
}
