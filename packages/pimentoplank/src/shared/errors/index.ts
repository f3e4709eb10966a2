export { RefusalError, describeCause, type Outcome, type RefusalOptions } from './refusalError'
export { problemOf, type Problem } from './problem'
