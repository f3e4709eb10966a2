export { createInMemoryMetrics, type Metrics, type MetricsSnapshot } from './metrics'
export { createMetrics, type MetricsOptions } from './statsdMetrics'
export { createPrometheusMetrics, type PrometheusMetrics } from './prometheusMetrics'
