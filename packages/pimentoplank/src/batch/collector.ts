/** Garbage collection: removes parts of aborted uploads that no job refers to, and jobs past their retention. */
import {
  checkpointRecord, createLeaseObserver, isFinalState, jobRecord, OBJECT_KINDS, parseChunkName, toSegmentName,
  tryAcquireLease, toUploadEndName, toUploadHeadName, toUploadPrefix,
  type CheckpointRecord, type ChunkNameParts, type JobRecord, type Lease, type StoredObject
} from '../shared'
import { CHECKPOINT_PAGE_SIZE } from './chunkClaimer'
import type { RunnerContext } from './context'

const LEASE_NAME = 'batch-collector'
/** Objects with bulk content that are listed per call during removal. */
const BULK_PAGE_SIZE = 2
/** Unlisted segments are removed from `orphanAfterMs` after the end of a job, for this long. */
const SWEEP_WINDOW_MS = 24 * 60 * 60 * 1000

export interface Collector {
  stop: () => Promise<void>
}

/** Starts the collector; of all runners, only the one that holds the collector's lease does any work. */
export function createCollector (context: RunnerContext, processId: string): Collector {
  const { platform, clock, settings, metrics, log } = context
  const { everyMs, orphanAfterMs, retentionMs } = settings.collector
  const leaseDeps = { platform, clock, observer: createLeaseObserver({ clock }) }
  const stopped = new AbortController()
  /** Time at which an upload was first seen without a job, by upload id, on this process's clock. */
  const orphanSince = new Map<string, number>()
  const sweptJobs = new Set<string>()
  let lease: Lease | undefined

  function isActive (): boolean {
    return !stopped.signal.aborted && lease?.isHeld() === true
  }

  async function run (): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(everyMs, stopped.signal)
      if (stopped.signal.aborted) break
      if (lease === undefined || lease.lost.aborted) await acquireLease()
      if (isActive()) await sweep()
    }
    await lease?.release()
  }

  async function acquireLease (): Promise<void> {
    const { lengthMs, renewEveryMs } = settings.lease
    const acquired = await tryAcquireLease(leaseDeps, { name: LEASE_NAME, holder: processId, lengthMs, renewEveryMs })
    lease = acquired.isOk() ? acquired.value ?? undefined : undefined
  }

  async function sweep (): Promise<void> {
    await sweepJobs()
    await sweepUploads()
    metrics.count('batch.collector.sweeps')
  }

  async function sweepJobs (): Promise<void> {
    for (const object of [...context.feed.objects(OBJECT_KINDS.job).values()]) {
      if (!isActive()) return
      const job = jobRecord.safeParse(object.value).data
      if (job?.endedAt === undefined || !isFinalState(job.state)) continue
      const age = clock.wallTime() - job.endedAt
      if (age >= retentionMs) await platform.remove(OBJECT_KINDS.job, object.name, { ifRevision: object.revision })
      else if (age >= orphanAfterMs && age < orphanAfterMs + SWEEP_WINDOW_MS) await sweepSegments(object.name, job)
    }
  }

  /** Removes segments that chunk owners wrote but never listed; the job has ended, so no checkpoint changes. */
  async function sweepSegments (name: string, job: JobRecord): Promise<void> {
    if (sweptJobs.has(job.uploadId)) return
    const prefix = toUploadPrefix(name, job.uploadId)
    let after: string | undefined
    do {
      const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, after, limit: CHECKPOINT_PAGE_SIZE })
      if (page.isErr()) return
      for (const { name: chunk, value } of page.value.items) {
        for (const segment of computeUnlistedSegments(chunk, checkpointRecord.parse(value))) {
          await platform.remove(OBJECT_KINDS.segment, segment)
        }
      }
      after = page.value.next
    } while (after !== undefined)
    sweptJobs.add(job.uploadId)
  }

  /** Visits every upload, reading one small object of each. */
  async function sweepUploads (): Promise<void> {
    const seen = new Set<string>()
    let after: string | undefined
    while (isActive()) {
      const page = await platform.list(OBJECT_KINDS.chunk, { after, limit: 1 })
      if (page.isErr()) return
      const parts = parseChunkName(page.value.items[0]?.name ?? '')
      if (parts === undefined) break
      after = toUploadEndName(parts.job, parts.uploadId)
      seen.add(parts.uploadId)
      await sweepUpload(parts)
    }
    for (const uploadId of orphanSince.keys()) if (!seen.has(uploadId)) orphanSince.delete(uploadId)
  }

  async function sweepUpload ({ job, uploadId }: ChunkNameParts): Promise<void> {
    if (refersToUpload(context.feed.objects(OBJECT_KINDS.job).get(job), uploadId)) {
      orphanSince.delete(uploadId)
      return
    }
    const since = orphanSince.get(uploadId) ?? clock.now()
    orphanSince.set(uploadId, since)
    if (clock.now() - since < orphanAfterMs) return
    // The feed may lag behind, so the platform is read before anything is removed.
    const read = await platform.get(OBJECT_KINDS.job, job)
    if (read.isErr() || refersToUpload(read.value ?? undefined, uploadId)) return
    await removeUpload(job, uploadId)
    log.info({ job, uploadId }, 'orphaned upload removed')
  }

  async function removeUpload (job: string, uploadId: string): Promise<void> {
    const prefix = toUploadPrefix(job, uploadId)
    const head = toUploadHeadName(job, uploadId)
    const areRemoved = await removeAll(OBJECT_KINDS.segment, prefix, BULK_PAGE_SIZE) &&
      await removeAll(OBJECT_KINDS.checkpoint, prefix, CHECKPOINT_PAGE_SIZE) &&
      await removeAll(OBJECT_KINDS.chunk, prefix, BULK_PAGE_SIZE, head)
    // The head is removed last, since uploads are found by it.
    if (areRemoved) await platform.remove(OBJECT_KINDS.chunk, head)
  }

  async function removeAll (kind: string, prefix: string, limit: number, after?: string): Promise<boolean> {
    while (isActive()) {
      const page = await platform.list(kind, { prefix, limit, after })
      if (page.isErr()) return false
      if (page.value.items.length === 0) return true
      for (const { name } of page.value.items) {
        const removed = await platform.remove(kind, name)
        if (removed.isErr()) return false
        metrics.count(`batch.collector.removed.${kind}`)
      }
    }
    return false
  }

  const ended = run()
  return {
    stop: async () => {
      stopped.abort()
      await ended
    }
  }
}

function refersToUpload (object: StoredObject | undefined, uploadId: string): boolean {
  return jobRecord.safeParse(object?.value).data?.uploadId === uploadId
}

/** In each epoch, only the segment after the last listed one can have been written without being listed. */
function computeUnlistedSegments (chunk: string, { epoch, segments }: CheckpointRecord): string[] {
  const listed = new Set(segments.map(({ name }) => name))
  const names: string[] = []
  for (let earlier = 1; earlier < epoch; earlier++) {
    let sequence = 0
    while (listed.has(toSegmentName(chunk, earlier, sequence))) sequence++
    names.push(toSegmentName(chunk, earlier, sequence))
  }
  return names
}
