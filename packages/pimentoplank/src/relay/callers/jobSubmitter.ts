/** Submits batch jobs within the memory budget, as a job takes several times its size until it is stored. */
import { isAscii } from 'node:buffer'
import { err, type Result } from 'neverthrow'
import { RefusalError, type MemoryBudget } from '../../shared'
import type { JobApi, JobItem } from '../jobs'
import type { CallerRequest, Route } from '../model'
import { createOverloadedError } from './bodyReader'

/** Copies of a job, besides its body as received, that exist at the same time: its items, and their encoded form. */
const JOB_COPIES = 2
/** Size of a character in a text with any characters beyond ASCII, in bytes. */
const WIDE_CHAR_BYTES = 2

export interface JobSubmitterOptions {
  decodeJob: (body: Uint8Array) => Result<JobItem[], RefusalError>
  jobs: Pick<JobApi, 'submit'>
  memory: MemoryBudget
}

/** Submits the job in the body of a request; refuses one for which there is no memory now, before any of it runs. */
export type SubmitJob = (request: CallerRequest, route: Route) => Promise<Result<void, RefusalError>>

/** Creates the submitter of an instance. */
export function createJobSubmitter ({ decodeJob, jobs, memory }: JobSubmitterOptions): SubmitJob {
  return async ({ id, host, body, deadlineMs }, route) => {
    const account = memory.open({ kind: 'job', id })
    try {
      if (!account.resize(estimateJobBytes(body))) return err(createOverloadedError())
      const items = decodeJob(body)
      if (items.isErr()) return err(items.error)
      return await jobs.submit({ id, host, route, items: items.value, remainingMs: deadlineMs })
    } finally {
      account.close()
    }
  }
}

/** Estimates the memory that a job takes until it is stored, besides its body as received, in bytes. */
function estimateJobBytes (body: Uint8Array): number {
  return JOB_COPIES * body.length * (isAscii(body) ? 1 : WIDE_CHAR_BYTES)
}
