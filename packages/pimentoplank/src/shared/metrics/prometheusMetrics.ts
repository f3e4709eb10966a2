/** Counters, gauges and latency histograms in the Prometheus text format, to be served over HTTP. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { Metrics, MetricsSnapshot } from './metrics'

export interface PrometheusMetrics extends Metrics {
  /** Renders all metrics in the Prometheus text format. */
  render: () => Promise<string>
  contentType: string
}

const PREFIX = 'pimentoplank_'
/** Upper bounds of latency buckets, in milliseconds. */
const LATENCY_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10_000, 20_000]

/** Creates the metrics of a process. A counter such as `refusals.queueFull` becomes `refusals` with a `kind` label. */
export function createPrometheusMetrics (): PrometheusMetrics {
  const registry = new Registry()
  const counters = new Map<string, Counter<'kind'>>()
  const gauges = new Map<string, Gauge>()
  const histograms = new Map<string, Histogram>()
  const totals = new Map<string, number>()
  const levels = new Map<string, number>()

  function count (name: string, by = 1): void {
    totals.set(name, (totals.get(name) ?? 0) + by)
    const [family, kind] = splitName(name)
    const counter = counters.get(family) ?? new Counter({
      name: `${PREFIX}${family}_total`, help: `Count of ${family}.`, labelNames: ['kind'], registers: [registry]
    })
    counters.set(family, counter)
    counter.inc({ kind }, by)
  }

  function timing (name: string, ms: number): void {
    const family = toFamilyName(name)
    const histogram = histograms.get(family) ?? new Histogram({
      name: `${PREFIX}${family}_ms`,
      help: `Time of ${family}, in milliseconds.`,
      buckets: LATENCY_BUCKETS_MS,
      registers: [registry]
    })
    histograms.set(family, histogram)
    histogram.observe(ms)
  }

  function gauge (name: string, value: number): void {
    levels.set(name, value)
    const family = toFamilyName(name)
    const level = gauges.get(family) ?? new Gauge({
      name: `${PREFIX}${family}`, help: `Level of ${family}.`, registers: [registry]
    })
    gauges.set(family, level)
    level.set(value)
  }

  return {
    countRefusal: (reason) => count(`refusals.${reason}`),
    countRetry: (reason) => count(`retries.${reason}`),
    count,
    timing,
    gauge,
    snapshot: (): MetricsSnapshot => ({ counters: Object.fromEntries(totals), gauges: Object.fromEntries(levels) }),
    render: async () => await registry.metrics(),
    contentType: registry.contentType,
    close: async () => registry.clear()
  }
}

/** Splits a name at its first dot into the metric and the value of its `kind` label. */
function splitName (name: string): [string, string] {
  const dot = name.indexOf('.')
  return dot < 0 ? [toFamilyName(name), ''] : [toFamilyName(name.slice(0, dot)), name.slice(dot + 1)]
}

function toFamilyName (name: string): string {
  return name.replace(/[^A-Za-z0-9]+/g, '_').toLowerCase()
}
