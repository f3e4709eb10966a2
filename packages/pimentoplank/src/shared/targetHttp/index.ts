export {
  createTargetAgent, markDispatch, isConnectFailure, type SendMark, type TargetAgent, type TargetAgentOptions, type TargetRequest
} from './targetAgent'
