export { cliSettings, type CliSettings } from './settings'
export { buildStory, type LogLine, type StoryLine } from './explain'
