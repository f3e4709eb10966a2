export { EARLY_HANG_UPS, REGRESSIONS, type Regression } from './regressions'
export { runSeed, type SeedOptions, type SeedOutcome } from './runSeed'
