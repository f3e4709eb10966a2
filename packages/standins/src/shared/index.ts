export {
  createRestartableServer, dropConnection, neverAnswer,
  type ListenOptions, type RestartableServer, type StandinEnv, type StandinServer
} from './standinServer'
export { putInstance, removeInstance } from './registration'
export { runStandin } from './runStandin'
