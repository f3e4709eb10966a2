export * from './engine'
export * from './platform'
export * from './service'
export type { ListenOptions, StandinServer } from './shared'
