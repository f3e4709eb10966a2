/** Representation of a job in responses to callers. */
import { err, ok, type Result } from 'neverthrow'
import {
  checkpointRecord, isFinalState, OBJECT_KINDS, toUploadPrefix,
  type BatchCounts, type CheckpointRecord, type JobRecord, type PlatformClient, type PlatformError
} from '../../shared'

/** Checkpoints read per call to the platform. */
const CHECKPOINT_PAGE_SIZE = 100

export interface JobView {
  id: string
  key: string
  account: string
  state: JobRecord['state']
  models: string[]
  items: number
  /** Absent in job lists while the job runs. */
  counts?: BatchCounts & { total: number, pending: number, cancelled: number }
  createdAt: string
  endedAt?: string
}

export interface NamedCheckpoint {
  name: string
  checkpoint: CheckpointRecord
}

/**
 * Converts a job record to the form shown to callers.
 *
 * @param counts - the result counts, where they are known; a finished job has its own
 */
export function toJobView (id: string, job: JobRecord, counts: BatchCounts | undefined = job.counts): JobView {
  const { key, account, state, models, items } = job
  const view: JobView = { id, key, account, state, models, items, createdAt: toIso(job.createdAt) }
  if (job.endedAt !== undefined) view.endedAt = toIso(job.endedAt)
  if (counts === undefined) return view
  const remaining = items - counts.done - counts.failed - counts.unknown
  const isFinal = isFinalState(state)
  return {
    ...view, counts: { total: items, ...counts, pending: isFinal ? 0 : remaining, cancelled: isFinal ? remaining : 0 }
  }
}

/** Returns the counts of a finished job, or adds up the committed results of a running one. */
export async function countResults (
  platform: PlatformClient,
  id: string,
  job: JobRecord
): Promise<Result<BatchCounts, PlatformError>> {
  if (job.counts !== undefined) return ok(job.counts)
  const counts: BatchCounts = { done: 0, failed: 0, unknown: 0 }
  let after: string | undefined
  do {
    const page = await readCheckpoints(platform, id, job, after)
    if (page.isErr()) return err(page.error)
    for (const { checkpoint } of page.value.items) {
      counts.done += checkpoint.counts.done
      counts.failed += checkpoint.counts.failed
      counts.unknown += checkpoint.counts.unknown
    }
    after = page.value.next
  } while (after !== undefined)
  return ok(counts)
}

export interface CheckpointPage {
  items: NamedCheckpoint[]
  next?: string
}

/** Reads one page of a job's checkpoints, in chunk order. */
export async function readCheckpoints (
  platform: PlatformClient,
  id: string,
  job: JobRecord,
  after?: string
): Promise<Result<CheckpointPage, PlatformError>> {
  const prefix = toUploadPrefix(id, job.uploadId)
  const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, limit: CHECKPOINT_PAGE_SIZE, after })
  return page.map(({ items, next }) => ({
    items: items.map(({ name, value }) => ({ name, checkpoint: checkpointRecord.parse(value) })),
    next
  }))
}

function toIso (ms: number): string {
  return new Date(ms).toISOString()
}
