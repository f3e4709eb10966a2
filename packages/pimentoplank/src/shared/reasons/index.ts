export { REFUSAL_REASONS, RETRY_REASONS, type RefusalReason, type RetryReason, type RefusalTraits } from './reasons'
