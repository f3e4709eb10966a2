/** Tuning constants of placement, admission, batch execution, result storage and failure detection. */
import type { JobManagerRules, ItemRunnerRules } from './jobs'
import { MAX_RETRY_AFTER_SHARE, type AdmissionRules, type PlacementRules, type SuspicionRules } from './decisions'
import type { RelayRules } from './live'

/** Placement, admission and failover of live requests. */
const live: PlacementRules & AdmissionRules & RelayRules = {
  maxQueueWaitShare: 0.6,
  lateReserveShare: 0.15,
  maxReturningWaitMs: 1500,
  maxRetryAfterShare: MAX_RETRY_AFTER_SHARE,
  firstEventShare: 0.6,
  gapShare: 0.6
}

/** Execution of batch items. */
const items: ItemRunnerRules = {
  liveReserveShare: 0.04,
  refusedBackoffMs: 100,
  failedBackoffMs: 200,
  silenceTimeoutMs: 1500,
  maxSilenceMs: 10_000,
  maxVersionWaitMs: 3000
}

/** Storage of results and takeover of jobs. */
const jobs: Omit<JobManagerRules, 'keepMs' | 'maxObjectBytes'> = {
  storeDelayMs: 2500,
  dueSoonMs: 1000,
  maxBackoffMs: 1000,
  settleMs: 3000
}

/** Temporary exclusion of targets that fail requests. */
const suspicion: SuspicionRules = {
  initialMs: 500,
  maxMs: 6000,
  decayMs: 6000
}

export const RELAY_RULES = { live, items, jobs, suspicion }
