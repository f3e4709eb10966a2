export { createCaller, type Caller, type CallerOptions, type LiveAnswer, type LiveRequest } from './caller'
export { createJobClient, type JobClient, type JobStatus, type JobResult } from './jobClient'
