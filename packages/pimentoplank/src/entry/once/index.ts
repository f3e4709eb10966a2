export { computeContentHash, type OnceRequest, type RecordedAnswer } from './intent'
export {
  createIntentRegistry, settleRefusal,
  type IntentLookup, type IntentRegistry, type IntentRegistryOptions, type RunPermit, type RunState
} from './intentRegistry'
export { createOwnerQuery, registerOnceService } from './onceService'
