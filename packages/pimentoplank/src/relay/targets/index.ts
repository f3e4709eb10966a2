export { createLeavingTargets, type LeavingTargets } from './leavingTargets'
export { createTargetDirectory, type TargetDirectory, type TargetDirectoryOptions } from './targetDirectory'
