export { createBatchRoutes, type BatchRoutesDeps } from './batchRoutes'
export { batchLimits, type BatchLimits } from './limits'
export type { JobView } from './jobView'
