export { createTargetDirectory, type TargetDirectory, type TargetDirectoryOptions } from './targetDirectory'
