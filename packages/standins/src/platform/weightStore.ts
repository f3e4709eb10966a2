/** The weight store beside the object API: transfers share one rate, and only a few may run at once. */
import { MS_PER_SECOND, type Clock } from 'pimentoplank/shared'

const DEFAULT_MB_PER_SECOND = 10_000
const DEFAULT_CONCURRENT = 4

export interface WeightStoreOptions {
  /** Megabytes a second, shared by all transfers. */
  weightsMbPerSecond?: number
  /** Transfers that may run at once. */
  weightsConcurrent?: number
}

export interface WeightStore {
  /** Resolves when the transfer is done: true, or false at once when too many run already. */
  transfer: (megabytes: number) => Promise<boolean>
}

/** Creates the weight store. */
export function createWeightStore (clock: Clock, options: WeightStoreOptions): WeightStore {
  const rate = options.weightsMbPerSecond ?? DEFAULT_MB_PER_SECOND
  const concurrent = options.weightsConcurrent ?? DEFAULT_CONCURRENT
  let running = 0
  let busyUntil = 0

  async function transfer (megabytes: number): Promise<boolean> {
    if (running >= concurrent) return false
    running += 1
    const now = clock.now()
    busyUntil = Math.max(busyUntil, now) + megabytes / rate * MS_PER_SECOND
    await clock.sleep(busyUntil - now)
    running -= 1
    return true
  }

  return { transfer }
}
