export { EARLY_SIGHUPS, OLD_ENTRY_REGRESSIONS, REGRESSIONS, STREAM_REGRESSIONS, type Regression } from './regressions'
export { runSeed, type SeedOptions, type SeedOutcome } from './runSeed'
export { sendLiveRequest, type Attempt } from './liveRequests'
export { EVENTS_PER_RESPONSE, findStreamViolations, type SeenTarget } from './streamChecks'
