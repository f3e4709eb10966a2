/** Token bucket for the platform stand-in's call rates. */
import { MS_PER_SECOND, type Clock } from 'pimentoplank/shared'

export interface RateLimiter {
  /** True when a call may pass now. */
  take: () => boolean
}

/**
 * Creates a limiter that allows one second's calls at once; without a rate it allows everything.
 *
 * @param clock - source of time
 * @param perSecond - calls a second
 */
export function createRateLimiter (clock: Clock, perSecond: number | undefined): RateLimiter {
  if (perSecond === undefined) return { take: () => true }
  let tokens = perSecond
  let filledAt = clock.now()
  return {
    take: () => {
      const now = clock.now()
      tokens = Math.min(perSecond, tokens + (now - filledAt) * perSecond / MS_PER_SECOND)
      filledAt = now
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
