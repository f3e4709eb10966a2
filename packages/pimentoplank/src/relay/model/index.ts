export * from './types'
