export { createServiceVersions, type ServiceVersions } from './serviceVersions'
export { createStreamService } from './streamService'
export { createStreamVersionFinder, type StreamVersionFinder } from './streamVersionFinder'
export { createStreamVersions, type KnownStream, type StreamReport, type StreamVersions } from './streamVersions'
