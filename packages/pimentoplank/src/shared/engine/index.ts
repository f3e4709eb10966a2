export * from './silence'
export * from './types'
export { createEngineClient, type EngineClientOptions } from './client'
