/** Removes what no job refers to any more: parts of uploads that broke off, and jobs past their retention. */
import {
  checkpointRecord, createLeaseObserver, isFinalState, jobRecord, OBJECT_KINDS, parseChunkName, segmentName,
  tryAcquireLease, uploadEndName, uploadHeadName, uploadPrefix,
  type CheckpointRecord, type ChunkNameParts, type JobRecord, type Lease, type StoredObject
} from '../shared'
import { PAGE_LIMIT } from './claims'
import type { RunnerContext } from './context'

const LEASE_NAME = 'batch-collector'
/** Objects with bulk content that are read with one call while they are removed. */
const BULK_PAGE_LIMIT = 2
/** Jobs that ended within this time after they could first be looked at have their leftover segments removed. */
const SEGMENT_SWEEP_MS = 24 * 60 * 60 * 1000

export interface Collector {
  stop: () => Promise<void>
}

/** Starts the collector; of all runners, the one that holds its lease works. */
export function createCollector (context: RunnerContext, processId: string): Collector {
  const { platform, clock, settings, metrics, log } = context
  const { everyMs, orphanAfterMs, retentionMs } = settings.collector
  const leaseDeps = { platform, clock, observer: createLeaseObserver({ clock }) }
  const stopped = new AbortController()
  /** When an upload was first seen without a job, on this process's clock. */
  const orphanSince = new Map<string, number>()
  const sweptJobs = new Set<string>()
  let lease: Lease | undefined

  function mayWork (): boolean {
    return !stopped.signal.aborted && lease?.isHeld() === true
  }

  async function run (): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(everyMs, stopped.signal)
      if (stopped.signal.aborted) break
      if (lease === undefined || lease.lost.aborted) await acquireLease()
      if (mayWork()) await sweep()
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
      if (!mayWork()) return
      const job = jobRecord.safeParse(object.value).data
      if (job?.endedAt === undefined || !isFinalState(job.state)) continue
      const age = clock.wallTime() - job.endedAt
      if (age >= retentionMs) await platform.remove(OBJECT_KINDS.job, object.name, { ifRevision: object.revision })
      else if (age >= orphanAfterMs && age < orphanAfterMs + SEGMENT_SWEEP_MS) await sweepSegments(object.name, job)
    }
  }

  /** Removes segments that holders wrote but never listed, once the job can't change any more. */
  async function sweepSegments (name: string, job: JobRecord): Promise<void> {
    if (sweptJobs.has(job.uploadId)) return
    const prefix = uploadPrefix(name, job.uploadId)
    let after: string | undefined
    do {
      const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, after, limit: PAGE_LIMIT })
      if (page.isErr()) return
      for (const { name: chunk, value } of page.value.items) {
        for (const segment of unlistedSegments(chunk, checkpointRecord.parse(value))) {
          await platform.remove(OBJECT_KINDS.segment, segment)
        }
      }
      after = page.value.next
    } while (after !== undefined)
    sweptJobs.add(job.uploadId)
  }

  /** Steps from upload to upload, reading one small object of each. */
  async function sweepUploads (): Promise<void> {
    const seen = new Set<string>()
    let after: string | undefined
    while (mayWork()) {
      const page = await platform.list(OBJECT_KINDS.chunk, { after, limit: 1 })
      if (page.isErr()) return
      const parts = parseChunkName(page.value.items[0]?.name ?? '')
      if (parts === undefined) break
      after = uploadEndName(parts.job, parts.uploadId)
      seen.add(parts.uploadId)
      await sweepUpload(parts)
    }
    for (const uploadId of orphanSince.keys()) if (!seen.has(uploadId)) orphanSince.delete(uploadId)
  }

  async function sweepUpload ({ job, uploadId }: ChunkNameParts): Promise<void> {
    if (refersTo(context.feed.objects(OBJECT_KINDS.job).get(job), uploadId)) {
      orphanSince.delete(uploadId)
      return
    }
    const since = orphanSince.get(uploadId) ?? clock.now()
    orphanSince.set(uploadId, since)
    if (clock.now() - since < orphanAfterMs) return
    // The feed may lag: the platform has the last word.
    const read = await platform.get(OBJECT_KINDS.job, job)
    if (read.isErr() || refersTo(read.value ?? undefined, uploadId)) return
    await removeUpload(job, uploadId)
    log.info({ job, uploadId }, 'leftover upload removed')
  }

  async function removeUpload (job: string, uploadId: string): Promise<void> {
    const prefix = uploadPrefix(job, uploadId)
    const head = uploadHeadName(job, uploadId)
    const areGone = await removeAll(OBJECT_KINDS.segment, prefix, BULK_PAGE_LIMIT) &&
      await removeAll(OBJECT_KINDS.checkpoint, prefix, PAGE_LIMIT) &&
      await removeAll(OBJECT_KINDS.chunk, prefix, BULK_PAGE_LIMIT, head)
    // The first object goes last: an upload is found by it.
    if (areGone) await platform.remove(OBJECT_KINDS.chunk, head)
  }

  async function removeAll (kind: string, prefix: string, limit: number, after?: string): Promise<boolean> {
    while (mayWork()) {
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

function refersTo (object: StoredObject | undefined, uploadId: string): boolean {
  return jobRecord.safeParse(object?.value).data?.uploadId === uploadId
}

/** At each epoch, at most the segment after the last listed one can have been written without being listed. */
function unlistedSegments (chunk: string, { epoch, segments }: CheckpointRecord): string[] {
  const listed = new Set(segments.map(({ name }) => name))
  const names: string[] = []
  for (let earlier = 1; earlier < epoch; earlier++) {
    let sequence = 0
    while (listed.has(segmentName(chunk, earlier, sequence))) sequence++
    names.push(segmentName(chunk, earlier, sequence))
  }
  return names
}
