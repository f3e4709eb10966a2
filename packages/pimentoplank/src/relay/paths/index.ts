export { createTargetPaths, type InstancePaths, type InstancePathsOptions } from './targetPaths'
export type { PathChoice, PathObserver, TargetPaths } from './types'
