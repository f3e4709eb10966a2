export { RefusalError, describeCause, type Outcome, type RefusalOptions } from './refusalError'
export { toProblemResponse, type Problem } from './problem'
