/** Limits the rate at which weights are ordered, so that the weight store is not overloaded. */
import { MS_PER_SECOND, type Clock } from '../shared'

export interface LoadBudget {
  /** Returns whether a load of this size may be ordered now; if so, it counts against the rate. */
  take: (megabytes: number) => boolean
}

/**
 * Creates a rate limiter.
 *
 * @param mbPerSecond - highest rate, in megabytes a second
 */
export function createLoadBudget (clock: Clock, mbPerSecond: number): LoadBudget {
  let nextAllowedAt = -Infinity
  return {
    take: (megabytes) => {
      const now = clock.now()
      if (now < nextAllowedAt) return false
      nextAllowedAt = now + megabytes / mbPerSecond * MS_PER_SECOND
      return true
    }
  }
}
