/** Weight store of the platform stand-in: transfers share one bandwidth, and their concurrency is limited. */
import { MS_PER_SECOND, type Clock } from 'pimentoplank/shared'

const DEFAULT_MB_PER_SECOND = 10_000
const DEFAULT_CONCURRENT = 4

export interface WeightStoreOptions {
  /** Bandwidth shared by all transfers, in megabytes per second. */
  weightsMbPerSecond?: number
  /** Maximum number of concurrent transfers. */
  weightsConcurrent?: number
}

export interface WeightStore {
  /** Resolves with true when the transfer is complete, or with false at once when too many are running. */
  transfer: (megabytes: number) => Promise<boolean>
}

/** Creates a weight store without running transfers. */
export function createWeightStore (clock: Clock, options: WeightStoreOptions): WeightStore {
  const mbPerSecond = options.weightsMbPerSecond ?? DEFAULT_MB_PER_SECOND
  const maxConcurrent = options.weightsConcurrent ?? DEFAULT_CONCURRENT
  let running = 0
  let busyUntil = 0

  async function transfer (megabytes: number): Promise<boolean> {
    if (running >= maxConcurrent) return false
    running += 1
    const now = clock.now()
    busyUntil = Math.max(busyUntil, now) + megabytes / mbPerSecond * MS_PER_SECOND
    await clock.sleep(busyUntil - now)
    running -= 1
    return true
  }

  return { transfer }
}
