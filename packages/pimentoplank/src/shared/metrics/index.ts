export { createMetrics, createNullMetrics, type Metrics, type MetricsOptions, type MetricsSnapshot } from './metrics'
