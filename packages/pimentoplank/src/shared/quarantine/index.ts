export * from './types'
export { createQuarantine, type QuarantineOptions } from './quarantine'
