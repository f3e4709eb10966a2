export { buildStory, type StoryLine } from './buildStory'
export { parseLogLine, readLogLines, type LogLine } from './readLogLines'
