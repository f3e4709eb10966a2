/** Finalizes jobs: `done` when every chunk is complete, `cancelled` when no chunk of a cancelled job is open. */
import {
  checkpointRecord, chunkRecord, createBitmap, isFinalState, jobRecord, OBJECT_KINDS, rankByRendezvous, SECOND_MS,
  toUploadPrefix, type BatchCounts, type CheckpointRecord, type JobRecord, type JobState, type StoredObject
} from '../shared'
import type { ChunkClaimer } from './chunkClaimer'
import { CHECKPOINT_PAGE_SIZE } from './chunkClaimer'
import type { RunnerContext } from './context'
import { createUnknownResult } from './itemResult'
import { createCheckpointWriter } from './checkpointWriter'

/** Delay per rank after which a runner tries to finalize a job, so that usually a single runner does it. */
const RANK_DELAY_MS = 2 * SECOND_MS

export interface JobFinalizer {
  /** Finalizes the job if that is possible now; safe to call at any time, on any runner. */
  tryFinalize: (name: string, found: StoredObject) => Promise<void>
  /** Drops the state kept for a job that has ended. */
  forget: (name: string) => void
}

interface CheckpointListing {
  /** Store revision of the oldest page. */
  revision: number
  checkpoints: Array<{ object: StoredObject, checkpoint: CheckpointRecord }>
}

/** Creates the job finalizer of a runner. */
export function createJobFinalizer (context: RunnerContext, claimer: ChunkClaimer): JobFinalizer {
  const { platform, clock, membership, settings, feed, metrics, log } = context
  const firstSeen = new Map<string, { state: JobState, at: number }>()

  /** Computes the time since the first attempt in this state, less the delay of this runner's rank; may be negative. */
  function computeWaitedMs (name: string, state: JobState): number {
    const known = firstSeen.get(name)
    const seenAt = known?.state === state ? known.at : clock.now()
    firstSeen.set(name, { state, at: seenAt })
    const runners = rankByRendezvous(name, membership.instances('batch'), ({ id }) => id)
    const rank = Math.max(0, runners.findIndex(({ id }) => id === context.instance))
    return clock.now() - seenAt - rank * RANK_DELAY_MS
  }

  async function listCheckpoints (name: string, job: JobRecord): Promise<CheckpointListing | null> {
    const prefix = toUploadPrefix(name, job.uploadId)
    const checkpoints: CheckpointListing['checkpoints'] = []
    let revision = Infinity
    let after: string | undefined
    do {
      const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, after, limit: CHECKPOINT_PAGE_SIZE })
      if (page.isErr()) return null
      for (const object of page.value.items) {
        checkpoints.push({ object, checkpoint: checkpointRecord.parse(object.value) })
      }
      revision = Math.min(revision, page.value.revision)
      after = page.value.next
    } while (after !== undefined)
    return { revision, checkpoints }
  }

  async function tryFinalizeJob (name: string, found: StoredObject): Promise<void> {
    const job = jobRecord.parse(found.value)
    if (isFinalState(job.state)) return
    const waited = computeWaitedMs(name, job.state)
    if (waited < 0) return
    const listing = await listCheckpoints(name, job)
    // A stale listing may lack claims that were made before the cancellation.
    if (listing === null || listing.revision < found.revision) return
    const open = listing.checkpoints.filter(({ checkpoint }) => checkpoint.state === 'open')
    if (job.state === 'running') {
      const isComplete = open.length === 0 && listing.checkpoints.length === job.chunks
      if (isComplete) await writeFinalState(name, found, { ...job, state: 'done' }, listing)
      return
    }
    const mayForce = waited >= settings.cancelGraceMs
    if (open.length === 0) {
      // A holder that has lost its chunk without knowing it starts items for as long as its read of the job counts.
      const hadEarlierHolders = listing.checkpoints.some(({ checkpoint }) => checkpoint.epoch > 1)
      if (mayForce || !hadEarlierHolders) await writeFinalState(name, found, { ...job, state: 'cancelled' }, listing)
      return
    }
    for (const { object, checkpoint } of open) {
      if (checkpoint.owner === null || mayForce) await sealChunk(object)
    }
  }

  async function writeFinalState (
    name: string,
    found: StoredObject,
    job: JobRecord,
    { checkpoints }: CheckpointListing
  ): Promise<void> {
    const counts = sumCounts(checkpoints.map(({ checkpoint }) => checkpoint.counts))
    const next: JobRecord = { ...job, counts, endedAt: clock.wallTime() }
    const written = await platform.put(OBJECT_KINDS.job, name, next, { ifRevision: found.revision })
    if (written.isErr()) return
    feed.offer(written.value)
    metrics.count(`batch.jobs.${job.state}`)
    log.info({ job: name, state: job.state, counts }, 'batch job ended')
  }

  /** Takes over an open chunk of a cancelled job and seals it; uncommitted results of its owner are lost. */
  async function sealChunk (object: StoredObject): Promise<void> {
    const claim = await claimer.takeOver(object.name, object)
    if (claim === null) return
    const { maxBytes } = settings.commit
    const writer = createCheckpointWriter({
      platform, name: object.name, claim: claim.checkpoint, revision: claim.revision, maxSegmentBytes: maxBytes
    })
    const isRecorded = await recordUnknownResults(object.name, claim.checkpoint, writer.record)
    if (isRecorded) await writer.commit({ end: 'sealed' })
  }

  /**
   * Records unknown results for at-most-once items with an intent and no result, since they may have run.
   *
   * @returns false when the chunk could not be read
   */
  async function recordUnknownResults (
    name: string,
    checkpoint: CheckpointRecord,
    record: ReturnType<typeof createCheckpointWriter>['record']
  ): Promise<boolean> {
    const finished = createBitmap(checkpoint.items, checkpoint.finished)
    const unresolved = createBitmap(checkpoint.items, checkpoint.started).values()
      .filter((index) => !finished.has(index))
    if (unresolved.length === 0) return true
    const chunk = await platform.get(OBJECT_KINDS.chunk, name)
    if (chunk.isErr()) return false
    const items = chunkRecord.safeParse(chunk.value?.value).data?.items ?? []
    for (const index of unresolved) {
      const item = items[index]
      if (item !== undefined) record(index, createUnknownResult(item, 'the job was cancelled while it may have run'))
    }
    return true
  }

  return { tryFinalize: tryFinalizeJob, forget: (name) => { firstSeen.delete(name) } }
}

function sumCounts (all: readonly BatchCounts[]): BatchCounts {
  const sum: BatchCounts = { done: 0, failed: 0, unknown: 0 }
  for (const { done, failed, unknown } of all) {
    sum.done += done
    sum.failed += failed
    sum.unknown += unknown
  }
  return sum
}
