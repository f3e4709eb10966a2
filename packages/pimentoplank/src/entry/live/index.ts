export { createLiveRoutes, type LiveRouteDeps } from './liveRoutes'
export { createLiveRun } from './liveRun'
export type { LiveDeps, LiveJob, LiveRun } from './liveJob'
