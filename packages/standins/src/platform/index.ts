export { createPlatformStandin, type PlatformStandin, type PlatformStandinOptions } from './platformStandin'
export type { PlatformFaults } from './faults'
export type { PlatformStats } from './stats'
