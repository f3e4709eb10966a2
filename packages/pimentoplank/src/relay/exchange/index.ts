export { createTargetConnectionPool, type ConnectionSettings, type TargetConnectionPool } from './connectionPool'
export {
  createExchange, drainAnswer, SendFailure, type AnswerEnding, type Exchange, type SendFailureReason, type TargetAnswer
} from './exchange'
export { createEventReader, type EventReader } from './eventReader'
export { getEventData, type SplitEvent } from './eventSplitter'
export { createTargetProbe, type TargetProbeOptions } from './targetProbe'
export { createDirectConnector, createTargetConnector, type DirectConnector, type TargetConnector } from './targetConnector'
