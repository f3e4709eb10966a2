/** Token bucket that limits the call rates of the platform stand-in. */
import { MS_PER_SECOND, type Clock } from 'pimentoplank/shared'

export interface RateLimiter {
  /** Takes one token; returns false when none is left. */
  tryAcquire: () => boolean
}

/**
 * Creates a token bucket with a burst of one second's calls. Without a rate it admits every call.
 *
 * @param clock - source of time
 * @param perSecond - calls per second
 */
export function createRateLimiter (clock: Clock, perSecond: number | undefined): RateLimiter {
  if (perSecond === undefined) return { tryAcquire: () => true }
  let tokens = perSecond
  let refilledAt = clock.now()
  return {
    tryAcquire: () => {
      const now = clock.now()
      tokens = Math.min(perSecond, tokens + (now - refilledAt) * perSecond / MS_PER_SECOND)
      refilledAt = now
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
