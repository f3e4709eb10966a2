export {
  decideAdmission, orderWaiting, type Admission, type AdmissionInput, type AdmissionRules, type WaitingRequest
} from './admission'
export {
  choosePlacement, type Placement, type PlacementCandidate, type PlacementInput, type PlacementRules
} from './placement'
export {
  countExcess, countRoom, chooseStarts, choosePreempted, rankItem,
  type BatchCandidate, type BatchScheduleInput, type BatchStart, type ExcessInput, type RunningItem, type WaitingItem,
  listRivals, type RivalItems
} from './batchScheduling'
export { addListedRun, computeListedMs, hasMadeAll, hasMadeMore, type AnswerEnd, type ListHistory } from './answerEnds'
export {
  addLiveOpenEnd, addOpenEnd, computeRestBackoff, EMPTY_END_GAP_MS, hasOrderlyEnd, isBusyRefusal, isEndProven,
  mayEndUnproven, MAX_REST_REFUSALS, REST_WAIT_MS,
  type LiveOpenEnds, type OpenEnds
} from './openEnds'
export {
  addIdentifyFailure, countProbes, endsIdentifyBackoff, type IdentifyFailures
} from './identifyBackoff'
export { computeOutageRetryMs } from './outageRetry'
export {
  decideItemVersion, type ItemVersionDecision, type ItemVersionInput, type ItemVersionRules
} from './itemVersions'
export { MAX_RETRY_AFTER_SHARE, MIN_TRY_MS, isRepeatable, canRetry, type RetryState, type TryFailure } from './retries'
export { comesBefore, countWaitingTokens, mayRefuse } from './quota'
export { BATCH_ALLOWANCE, computeLimitShare, LIVE_ALLOWANCE, refillAllowance, type Allowance, type LimitShareInput } from './limitShare'
export {
  computeRefreshAgeMs, mayAwaitAnswers, mayDenyResults, mayStartItems, type RecordAgeRules
} from './recordAge'
export { computeReadAfterLossMs, computeRecordReadMs, computeTakeOverAt, type Absence } from './takeOver'
export { computeSuspicion, type FailureRecord, type Suspicion, type SuspicionRules } from './suspicion'
export {
  addCurrentVersions, chooseKeepers, findOnlyOrigin, findPlacedVersion, FORGET_VERSION_MS,
  listResumeCandidates, type CurrentVersions, type PlacedProcess, type ResumeCandidate, type ResumeInput,
  type StreamOrigin, type VersionHistory
} from './streamVersions'
export {
  addPathFailure, ANSWERING_MS, chooseChecks, choosePathPeer, decideReach, hasAnsweredPeersThrough,
  type PathInput, type PathPeer, type ProbeCandidate, type Reach, type ReachInput, type TargetEvidence
} from './reach'
export { decideProcessFate, type ProcessFate, type ProcessView } from './processEvidence'
