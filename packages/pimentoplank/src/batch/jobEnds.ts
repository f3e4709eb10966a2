/** Brings jobs to their final state: done when every chunk is complete, cancelled when none can go on. */
import {
  checkpointRecord, chunkRecord, createBitmap, isFinalState, jobRecord, OBJECT_KINDS, rankByRendezvous, SECOND_MS,
  uploadPrefix, type BatchCounts, type CheckpointRecord, type JobRecord, type StoredObject
} from '../shared'
import type { Claims } from './claims'
import { PAGE_LIMIT } from './claims'
import type { RunnerContext } from './context'
import { unknownResult } from './itemResult'
import { createLedger } from './ledger'

/** Runners take their turns at ending a job this far apart, so that one does it. */
const TURN_MS = 2 * SECOND_MS

export interface JobEnds {
  /** Ends the job if it can be ended now; safe to call at any time, on any runner. */
  tryEnd: (name: string, found: StoredObject) => Promise<void>
  /** Forgets a job that has ended. */
  forget: (name: string) => void
}

interface Listing {
  /** Store revision as of which the listing holds. */
  revision: number
  checkpoints: Array<{ object: StoredObject, checkpoint: CheckpointRecord }>
}

/** Creates the part of a runner that ends jobs. */
export function createJobEnds (context: RunnerContext, claims: Claims): JobEnds {
  const { platform, clock, membership, settings, feed, metrics, log } = context
  const firstSeenAt = new Map<string, number>()

  /** Time since this runner first saw the job in need of an end, less the turns of others. */
  function waitedMs (name: string): number {
    const seenAt = firstSeenAt.get(name) ?? clock.now()
    firstSeenAt.set(name, seenAt)
    const runners = rankByRendezvous(name, membership.instances('batch'), ({ id }) => id)
    const rank = Math.max(0, runners.findIndex(({ id }) => id === context.instance))
    return clock.now() - seenAt - rank * TURN_MS
  }

  async function listCheckpoints (name: string, job: JobRecord): Promise<Listing | null> {
    const prefix = uploadPrefix(name, job.uploadId)
    const checkpoints: Listing['checkpoints'] = []
    let revision: number | undefined
    let after: string | undefined
    do {
      const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, after, limit: PAGE_LIMIT })
      if (page.isErr()) return null
      for (const object of page.value.items) {
        checkpoints.push({ object, checkpoint: checkpointRecord.parse(object.value) })
      }
      revision ??= page.value.revision
      after = page.value.next
    } while (after !== undefined)
    return { revision, checkpoints }
  }

  async function tryEnd (name: string, found: StoredObject): Promise<void> {
    const job = jobRecord.parse(found.value)
    if (isFinalState(job.state)) return
    const waited = waitedMs(name)
    if (waited < 0) return
    const listing = await listCheckpoints(name, job)
    // A stale listing may lack claims that were made before the cancellation.
    if (listing === null || listing.revision < found.revision) return
    const open = listing.checkpoints.filter(({ checkpoint }) => checkpoint.state === 'open')
    if (job.state === 'running') {
      const isComplete = open.length === 0 && listing.checkpoints.length === job.chunks
      if (isComplete) await writeEnd(name, found, { ...job, state: 'done' }, listing)
      return
    }
    if (open.length === 0) return await writeEnd(name, found, { ...job, state: 'cancelled' }, listing)
    const mayForce = waited >= settings.cancelGraceMs
    for (const { object, checkpoint } of open) {
      if (checkpoint.owner === null || mayForce) await seal(object)
    }
  }

  async function writeEnd (name: string, found: StoredObject, job: JobRecord, { checkpoints }: Listing): Promise<void> {
    const counts = addCounts(checkpoints.map(({ checkpoint }) => checkpoint.counts))
    const next: JobRecord = { ...job, counts, endedAt: clock.wallTime() }
    const written = await platform.put(OBJECT_KINDS.job, name, next, { ifRevision: found.revision })
    if (written.isErr()) return
    feed.offer(written.value)
    metrics.count(`batch.jobs.${job.state}`)
    log.info({ job: name, state: job.state, counts }, 'batch job ended')
  }

  /** Takes an open chunk of a cancelled job over and seals it; what its holder has not committed is lost. */
  async function seal (object: StoredObject): Promise<void> {
    const claim = await claims.takeOver(object.name, object)
    if (claim === null) return
    const { maxBytes } = settings.commit
    const ledger = createLedger({
      platform, name: object.name, claim: claim.checkpoint, revision: claim.revision, maxSegmentBytes: maxBytes
    })
    const settled = await settleStarted(object.name, claim.checkpoint, ledger.record)
    if (settled) await ledger.commit({ end: 'sealed' })
  }

  /** Items not to be repeated that were dispatched may have run: their results are unknown. */
  async function settleStarted (
    name: string,
    checkpoint: CheckpointRecord,
    record: ReturnType<typeof createLedger>['record']
  ): Promise<boolean> {
    const finished = createBitmap(checkpoint.items, checkpoint.finished)
    const left = createBitmap(checkpoint.items, checkpoint.started).values().filter((index) => !finished.has(index))
    if (left.length === 0) return true
    const chunk = await platform.get(OBJECT_KINDS.chunk, name)
    if (chunk.isErr()) return false
    const items = chunkRecord.safeParse(chunk.value?.value).data?.items ?? []
    for (const index of left) {
      const item = items[index]
      if (item !== undefined) record(index, unknownResult(item, 'the job was cancelled while it may have run'))
    }
    return true
  }

  return { tryEnd, forget: (name) => { firstSeenAt.delete(name) } }
}

function addCounts (all: readonly BatchCounts[]): BatchCounts {
  const sum: BatchCounts = { done: 0, failed: 0, unknown: 0 }
  for (const { done, failed, unknown } of all) {
    sum.done += done
    sum.failed += failed
    sum.unknown += unknown
  }
  return sum
}
