/** The figures behind the decisions of folder `decisions`. */
import type { JobKeeperRules, ItemRunnerRules } from './jobs'
import type { AdmissionRules, PlacementRules, SuspicionRules } from './decisions'
import type { RelayRules } from './live'

/** Rules of live requests. */
const live: PlacementRules & AdmissionRules & RelayRules = {
  queueShare: 0.6,
  lateReserveShare: 0.15,
  returningWaitMs: 1500,
  retryAfterShare: 1 / 3,
  firstEventShare: 0.6,
  gapShare: 0.6
}

/** Rules of running batch items. */
const items: ItemRunnerRules = {
  liveReserveShare: 0.04,
  refusedPauseMs: 100,
  failedPauseMs: 200,
  silenceMs: 1500
}

/** Rules of storing results and taking jobs over. */
const jobs: Omit<JobKeeperRules, 'keepMs'> = {
  storeDelayMs: 2500,
  dueSoonMs: 1000,
  maxPauseMs: 1000,
  settleMs: 3000
}

/** Rules of leaving targets out that fail requests. */
const suspicion: SuspicionRules = {
  firstMs: 500,
  longestMs: 6000,
  memoryMs: 6000
}

export const RELAY_RULES = { live, items, jobs, suspicion }
