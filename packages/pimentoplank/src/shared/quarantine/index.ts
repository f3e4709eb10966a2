export * from './types'
export { findCrashingParts, isCrashingPrompt, type CrashedPrompt, type CrashEvidence, type TargetCrash } from './crashAttribution'
export { findDueProbe, findProbeTurn, type ProbeTurn } from './probeSchedule'
export { createQuarantine, type QuarantineOptions } from './quarantine'
