export * from './entries'
export { createSnapshot, createStaticConfig, type ConfigSnapshot, type ConfigView } from './snapshot'
