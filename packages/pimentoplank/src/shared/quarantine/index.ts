export * from './types'
export { findCrashingParts, isCrashingPrompt, type CrashedPrompt, type CrashEvidence, type TargetCrash } from './crashAttribution'
export { findDueProbe } from './probeSchedule'
export { createQuarantine, type QuarantineOptions } from './quarantine'
