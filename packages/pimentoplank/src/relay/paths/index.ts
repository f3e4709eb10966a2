export { createDirectPaths } from './directPaths'
export { createTargetPaths, type InstancePaths, type InstancePathsOptions } from './targetPaths'
export type { PathChoice, PathObserver, ProbeOutcome, TargetPaths } from './types'
