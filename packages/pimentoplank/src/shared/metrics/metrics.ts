/** Counters, gauges and timings of a process. */
import type { RefusalReason, RetryReason } from '../reasons'

export interface MetricsSnapshot {
  /** Totals since the process started, by metric name. */
  counters: Record<string, number>
  gauges: Record<string, number>
}

export interface Metrics {
  /** Counts a refused request under `refusals.<reason>`. */
  countRefusal: (reason: RefusalReason) => void
  /** Counts a retry under `retries.<reason>`. */
  countRetry: (reason: RetryReason) => void
  count: (name: string, by?: number) => void
  /** Records a duration in milliseconds. */
  timing: (name: string, ms: number) => void
  gauge: (name: string, value: number) => void
  snapshot: () => MetricsSnapshot
  close: () => Promise<void>
}

/** Creates metrics that are only kept in memory, without timings. */
export function createInMemoryMetrics (): Metrics {
  const counters = new Map<string, number>()
  const gauges = new Map<string, number>()

  function count (name: string, by = 1): void {
    counters.set(name, (counters.get(name) ?? 0) + by)
  }

  return {
    countRefusal: (reason) => count(`refusals.${reason}`),
    countRetry: (reason) => count(`retries.${reason}`),
    count,
    timing: () => undefined,
    gauge: (name, value) => { gauges.set(name, value) },
    snapshot: () => ({ counters: Object.fromEntries(counters), gauges: Object.fromEntries(gauges) }),
    close: async () => undefined
  }
}
