export { cliSettings, type CliSettings } from './settings'
export { buildTimeline, type LogLine, type TimelineEntry } from './explain'
