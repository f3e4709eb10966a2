export type { PlatformCall, PlatformDialect, PlatformOperation, PlatformResponse, PlatformWrite } from './dialect'
export { createPlatformClient, type PlatformClient, type PlatformClientOptions, type PutOptions, type PutStatusOptions, type RemoveOptions, type ListOptions, type WatchOptions } from './client'
export { PlatformConflict, PlatformRejected, PlatformUnavailable, type PlatformError } from './errors'
export { instanceRecord, type InstanceRecord, type InstanceRole, type ObjectPage, type StoredObject, type WatchBatch, type WatchEvent } from './schemas'
