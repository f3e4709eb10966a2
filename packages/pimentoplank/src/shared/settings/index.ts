export { loadSettings, parseSettings, SettingsError, type SettingsIssue } from './loadSettings'
export {
  commonSettings,
  address,
  instanceSettings,
  listenSettings,
  logSettings,
  metricsSettings,
  peerSettings,
  tlsSettings,
  platformSettings,
  type CommonSettings
} from './commonSettings'
