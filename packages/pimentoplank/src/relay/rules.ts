/** Tuning constants of placement, admission, batch execution, result storage and failure detection. */
import type { JobKeeperRules, ItemRunnerRules } from './jobs'
import type { AdmissionRules, PlacementRules, SuspicionRules } from './decisions'
import type { RelayRules } from './live'

/** Placement, admission and failover of live requests. */
const live: PlacementRules & AdmissionRules & RelayRules = {
  queueShare: 0.6,
  lateReserveShare: 0.15,
  returningWaitMs: 1500,
  retryAfterShare: 1 / 3,
  firstEventShare: 0.6,
  gapShare: 0.6
}

/** Execution of batch items. */
const items: ItemRunnerRules = {
  liveReserveShare: 0.04,
  refusedPauseMs: 100,
  failedPauseMs: 200,
  silenceMs: 1500
}

/** Storage of results and takeover of jobs. */
const jobs: Omit<JobKeeperRules, 'keepMs'> = {
  storeDelayMs: 2500,
  dueSoonMs: 1000,
  maxPauseMs: 1000,
  settleMs: 3000
}

/** Temporary exclusion of targets that fail requests. */
const suspicion: SuspicionRules = {
  firstMs: 500,
  longestMs: 6000,
  memoryMs: 6000
}

export const RELAY_RULES = { live, items, jobs, suspicion }
