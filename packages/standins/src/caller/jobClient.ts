/** Client for the batch API: submits jobs and reads their status and results. */
import { createInterface } from 'node:readline'
import { Readable } from 'node:stream'
import type { Caller } from './caller'

/** Status of a job, as returned by `GET /v1/batches/<id>`. */
export interface JobStatus {
  id: string
  state: string
  /** Present once the state is final. */
  endedAt?: string
  counts: { total: number, done: number, failed: number, unknown: number, pending: number }
}

/** One line of the results of a job. */
export interface JobResult {
  id: string
  status: string
}

export interface JobClient {
  /** Submits a job, streaming its items. Resolves with the status code and the body of the response. */
  submit: (key: string, items: Iterable<object>) => Promise<{ statusCode: number, body: unknown }>
  getStatus: (id: string) => Promise<JobStatus>
  getResults: (id: string) => Promise<JobResult[]>
  cancel: (id: string) => Promise<number>
}

/** Creates a client for the batch API. */
export function createJobClient (caller: Caller): JobClient {
  return {
    submit: async (key, items) => {
      const res = await caller.send('/v1/batches', {
        method: 'POST',
        headers: { 'content-type': 'application/x-ndjson', 'idempotency-key': key },
        body: Readable.from(toLines(items))
      })
      return { statusCode: res.statusCode, body: await res.body.json() }
    },
    getStatus: async (id) => {
      const res = await caller.send(`/v1/batches/${id}`, { method: 'GET' })
      return await res.body.json() as JobStatus
    },
    getResults: async (id) => {
      const res = await caller.send(`/v1/batches/${id}/results`, { method: 'GET' })
      const results: JobResult[] = []
      for await (const line of createInterface({ input: res.body })) {
        if (line !== '') results.push(JSON.parse(line) as JobResult)
      }
      return results
    },
    cancel: async (id) => {
      const res = await caller.send(`/v1/batches/${id}/cancel`, { method: 'POST' })
      await res.body.dump()
      return res.statusCode
    }
  }
}

function * toLines (items: Iterable<object>): Generator<string> {
  for (const item of items) yield `${JSON.stringify(item)}\n`
}
