export { getBodyFraming, type BodyFraming } from './bodyFraming'
export {
  ConnectionResetError, createConnector, isEnding, RequestCutError, toConnectOptions, type ConnectorOptions
} from './connector'
export { readLimitedBody } from './readLimitedBody'
export {
  createTargetAgent, isConnectFailure, markDispatch,
  type SendMark, type TargetAgent, type TargetAgentOptions, type TargetRequest
} from './targetAgent'
