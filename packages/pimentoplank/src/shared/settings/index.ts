export { loadSettings, parseSettings, SettingsError, type SettingsIssue } from './loadSettings'
export {
  commonSettings,
  address,
  instanceSettings,
  listenSettings,
  logSettings,
  metricsSettings,
  peerSettings,
  platformSettings,
  tlsSettings,
  type CommonSettings
} from './commonSettings'
