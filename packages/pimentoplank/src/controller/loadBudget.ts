/** Spreads the weights that are ordered over time, so that the weight store's rate is kept. */
import { MS_PER_SECOND, type Clock } from '../shared'

export interface LoadBudget {
  /** True when a load may be ordered now; it then counts against the rate. */
  take: (megabytes: number) => boolean
}

/**
 * Creates a budget.
 *
 * @param clock - clock of this process
 * @param mbPerSecond - megabytes a second
 */
export function createLoadBudget (clock: Clock, mbPerSecond: number): LoadBudget {
  let freeAt = -Infinity
  return {
    take: (megabytes) => {
      const now = clock.now()
      if (now < freeAt) return false
      freeAt = now + megabytes / mbPerSecond * MS_PER_SECOND
      return true
    }
  }
}
