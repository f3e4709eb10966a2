export * from './types'
export { createDirectPaths } from './directPaths'
