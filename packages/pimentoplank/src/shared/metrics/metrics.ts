/** Counters, gauges and timings, sent to StatsD; totals are also kept in memory for the status service. */
import { StatsD } from 'hot-shots'
import type { RefusalReason, RetryReason } from '../reasons'

export interface MetricsOptions {
  /** StatsD host; nothing is sent when absent. */
  host?: string
  port?: number
  prefix?: string
  tags?: Record<string, string>
}

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

/** Creates the metrics of a process. */
export function createMetrics (options: MetricsOptions = {}): Metrics {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: options.prefix ?? 'pimentoplank.',
    globalTags: options.tags,
    mock: options.host === undefined,
    errorHandler: () => undefined
  })
  // The mock client buffers every line that it receives, so nothing is passed to it.
  const sender = options.host === undefined ? undefined : client
  const counters = new Map<string, number>()
  const gauges = new Map<string, number>()

  function count (name: string, by = 1): void {
    counters.set(name, (counters.get(name) ?? 0) + by)
    sender?.increment(name, by)
  }

  return {
    countRefusal: (reason) => count(`refusals.${reason}`),
    countRetry: (reason) => count(`retries.${reason}`),
    count,
    timing: (name, ms) => { sender?.timing(name, ms) },
    gauge: (name, value) => {
      gauges.set(name, value)
      sender?.gauge(name, value)
    },
    snapshot: () => ({ counters: Object.fromEntries(counters), gauges: Object.fromEntries(gauges) }),
    close: async () => await new Promise((resolve) => client.close(() => resolve()))
  }
}

/** Creates metrics that are only kept in memory. */
export function createInMemoryMetrics (): Metrics {
  return createMetrics()
}
