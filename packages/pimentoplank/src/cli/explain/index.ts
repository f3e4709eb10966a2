export { buildTimeline, type TimelineEntry } from './buildTimeline'
export { parseLogLine, readLogLines, type LogLine } from './readLogLines'
