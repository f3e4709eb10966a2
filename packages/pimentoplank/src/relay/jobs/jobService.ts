/** Serves RPC requests of peers about jobs that this instance owns. */
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter } from '@connectrpc/connect'
import {
  HandOverResponseSchema, JobEndedResponseSchema, JobService, ReadResultsResponseSchema,
  type HandOverRequest, type HandOverResponse, type JobEndedRequest, type JobEndedResponse, type ReadResultsRequest,
  type ReadResultsResponse
} from '../../shared'
import type { JobRegistry } from './jobRegistry'
import type { JobApi } from './jobApi'
import type { JobManager } from './jobManager'

export interface JobServiceOptions {
  jobRegistry: JobRegistry
  jobManager: JobManager
  jobApi: JobApi
}

/** Longest time that a peer's read waits for a result, in milliseconds. */
const MAX_WAIT_MS = 5000

/** Creates a function that registers the service with a router. */
export function createJobService (
  { jobRegistry: registry, jobManager: manager, jobApi: calls }: JobServiceOptions
): (router: ConnectRouter) => void {
  async function readResults (req: ReadResultsRequest): Promise<ReadResultsResponse> {
    const page = await calls.readOwned(req.job, req.after, Math.min(req.waitMs, MAX_WAIT_MS))
    if (page === undefined) return create(ReadResultsResponseSchema, { isOwner: false })
    return create(ReadResultsResponseSchema, { isOwner: true, total: page.total, results: [...page.results] })
  }

  async function jobEnded (req: JobEndedRequest): Promise<JobEndedResponse> {
    const job = registry.get(req.job)
    if (job === undefined) return create(JobEndedResponseSchema, { isOwner: false })
    const ended = await manager.endJob(job)
    return create(JobEndedResponseSchema, { isOwner: ended.isOk() })
  }

  async function handOver (req: HandOverRequest): Promise<HandOverResponse> {
    const open = req.progress.filter(({ finished }) => !finished)
    const done = req.progress.filter(({ finished }) => finished)
    const taken = await manager.takeOver(
      req.job,
      new Map(open.map(({ item, lastEvent, text, version, service, failures }) => [item, {
        // Without its version a text can't go on.
        ...(lastEvent > 0 && version !== '' ? { lastEventId: lastEvent, data: [text], version, service } : {}),
        failures
      }])),
      done.map(({ item, completed, text }) => ({ item, completed, text }))
    )
    return create(HandOverResponseSchema, { taken })
  }

  return (router) => { router.service(JobService, { readResults, jobEnded, handOver }) }
}
