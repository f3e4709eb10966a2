export {
  createMetrics, createInMemoryMetrics, type Metrics, type MetricsOptions, type MetricsSnapshot
} from './metrics'
export { createPrometheusMetrics, type PrometheusMetrics } from './prometheusMetrics'
