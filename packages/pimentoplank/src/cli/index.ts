export { cliSettings, type CliSettings } from './settings'
