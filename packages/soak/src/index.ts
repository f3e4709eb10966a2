export { EARLY_SIGHUPS, REGRESSIONS, type Regression } from './regressions'
export { runSeed, type SeedOptions, type SeedOutcome } from './runSeed'
