export * from './silence'
export * from './softwareVersion'
export * from './types'
export { createEngineClient, type EngineClientOptions } from './client'
