/** Metrics that are sent to StatsD; totals are also kept in memory for the status service. */
import { StatsD } from 'hot-shots'
import { createInMemoryMetrics, type Metrics } from './metrics'

export interface MetricsOptions {
  /** StatsD host; nothing is sent when absent. */
  host?: string
  port?: number
  prefix?: string
  tags?: Record<string, string>
}

/** Creates the metrics of a process. */
export function createMetrics (options: MetricsOptions = {}): Metrics {
  const totals = createInMemoryMetrics()
  if (options.host === undefined) return totals
  const sender = new StatsD({
    host: options.host,
    port: options.port,
    prefix: options.prefix ?? 'pimentoplank.',
    globalTags: options.tags,
    errorHandler: () => undefined
  })

  function count (name: string, by = 1): void {
    totals.count(name, by)
    sender.increment(name, by)
  }

  return {
    ...totals,
    countRefusal: (reason) => count(`refusals.${reason}`),
    countRetry: (reason) => count(`retries.${reason}`),
    count,
    timing: (name, ms) => { sender.timing(name, ms) },
    gauge: (name, value) => {
      totals.gauge(name, value)
      sender.gauge(name, value)
    },
    close: async () => await new Promise((resolve) => sender.close(() => resolve()))
  }
}
