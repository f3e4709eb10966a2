export { createTargetConnectionPool, type ConnectionSettings, type TargetConnectionPool } from './connectionPool'
export {
  createExchange, SendFailure, type AnswerEnding, type Exchange, type SendFailureReason, type TargetAnswer
} from './exchange'
export { createEventSplitter, getEventData, type EventSplitter, type SplitEvent } from './eventSplitter'
