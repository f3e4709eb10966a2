export { createTargetConnections, type ConnectionSettings, type TargetConnections } from './connections'
export { createExchange, SendFailure, type Exchange, type SendFailureReason, type TargetAnswer } from './exchange'
export { createEventSplitter, eventData, type EventSplitter, type SplitEvent } from './eventSplitter'
