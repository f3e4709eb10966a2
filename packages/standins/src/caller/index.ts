export { createCaller, type Caller, type CallerOptions, type LiveResponse, type LiveRequest } from './caller'
export { createJobClient, type JobClient, type JobStatus, type JobResult } from './jobClient'
export { sendHttp10, type Http10Request, type Http10Response } from './http10'
