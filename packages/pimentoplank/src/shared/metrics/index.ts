export {
  createMetrics, createNullMetrics, type Metrics, type MetricsOptions, type MetricsSnapshot
} from './metrics'
export { createServedMetrics, type ServedMetrics } from './servedMetrics'
