export {
  decideAdmission, orderWaiting, type Admission, type AdmissionInput, type AdmissionRules, type WaitingRequest
} from './admission'
export {
  choosePlacement, type Placement, type PlacementCandidate, type PlacementInput, type PlacementRules
} from './placement'
export {
  chooseRelief, chooseStarts, chooseYields, rankItem,
  type BatchCapacity, type BatchShareInput, type BatchStart, type ReliefInput, type RunningItem, type WaitingItem
} from './batchShare'
export { isRepeatable, mayTryAgain, type RetryState, type TryFailure } from './retries'
export { hasRoomForSure, waitingTokens, type CountedJob } from './quota'
export { suspectAfterFailure, type FailureRecord, type Suspicion, type SuspicionRules } from './suspicion'
