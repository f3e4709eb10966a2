export { buildRevision, extractRevision } from './buildRevision'
export {
  CUT_REGRESSIONS, EARLY_SIGHUPS, LOADING_REGRESSIONS, OLD_ENTRY_REGRESSIONS, REGRESSIONS, STREAM_REGRESSIONS,
  type Regression
} from './regressions'
export { EVERY_FAULT, runSeed, SHORT_FAULTS, type SeedOptions, type SeedOutcome } from './runSeed'
export { sendLiveRequest, type Attempt } from './liveRequests'
export { findOrderViolations, type SeenInstance, type SeenNumbers } from './orderChecks'
export { EVENTS_PER_RESPONSE, findStreamViolations, type SeenTarget } from './streamChecks'
export { playStandstill, type StandstillOutcome } from './standstill'
export { playOrderlyEnds, type EndsOutcome, type EndsVariant } from './orderlyEnds'
export { playTakeUps, type OwnerFault, type TakeUpsOptions, type TakeUpsOutcome } from './takeUps'
