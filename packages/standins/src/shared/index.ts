export { breakOffResponse, setFraming } from './brokenResponse'
export {
  createRestartableServer, dropConnection, neverRespond,
  type ListenOptions, type RestartableServer, type StandinEnv, type StandinServer
} from './standinServer'
export { registerInstance, deregisterInstance } from './registration'
export { runStandin } from './runStandin'
