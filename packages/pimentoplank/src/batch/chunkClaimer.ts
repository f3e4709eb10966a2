/** Finds chunks without a live owner and claims them with conditional writes. */
import {
  toListingStart, checkpointRecord, toChunkName, chunkRecord, OBJECT_KINDS, parseChunkName, toUploadPrefix,
  type CheckpointRecord, type ChunkOwner, type JobRecord, type StoredObject
} from '../shared'
import type { RunnerContext } from './context'
import type { ClaimedChunk } from './activeChunk'
import type { OwnerLeaseMonitor } from './ownerLeaseMonitor'

/** Checkpoints listed per call. */
export const CHECKPOINT_PAGE_SIZE = 100
/** Claims attempted on one page; each may lose the race against another runner. */
const MAX_CLAIM_ATTEMPTS = 3

/** A running job and the chunks of it that need no further scan. */
export interface TrackedJob {
  name: string
  job: JobRecord
  /** Chunks that are complete or sealed. */
  ended: Set<number>
}

export interface ChunkClaimer {
  /** Reads one page of a job's checkpoints and claims a chunk from it; null when none could be claimed. */
  claimOne: (known: TrackedJob, isHeld: (chunk: string) => boolean) => Promise<ClaimedChunk | null>
  /** Reads one page of a job's checkpoints; true when a chunk on it has not ended. */
  hasOpenChunk: (known: TrackedJob) => Promise<boolean>
  /** Takes over a chunk regardless of its owner; null when another write came first. */
  takeOver: (name: string, found: StoredObject) => Promise<Claim | null>
}

/** A claim accepted by the platform. */
export interface Claim {
  checkpoint: CheckpointRecord
  revision: number
}

/** A chunk that has not ended; it has no checkpoint if it was never claimed. */
interface Candidate {
  index: number
  object?: StoredObject
  checkpoint?: CheckpointRecord
}

/** Creates the chunk claimer of a runner. */
export function createChunkClaimer (context: RunnerContext, ownerMonitor: OwnerLeaseMonitor): ChunkClaimer {
  const { platform, random, metrics, log } = context

  function isClaimable (checkpoint: CheckpointRecord, isHeld: boolean): boolean {
    const { owner } = checkpoint
    if (owner === null) return true
    const me = context.getOwner()
    // The response to this runner's own claim was lost, so no work has been done under it.
    if (owner.lease === me?.lease && owner.leaseEpoch === me.leaseEpoch) return !isHeld
    ownerMonitor.track(owner)
    return ownerMonitor.hasLostLease(owner)
  }

  /** Lists one page of checkpoints, starting at a random chunk that is not known to have ended. */
  async function readOpenChunks ({ name, job, ended }: TrackedJob): Promise<Candidate[]> {
    const open = Array.from({ length: job.chunks }, (_, index) => index).filter((index) => !ended.has(index))
    const start = open[Math.floor(random() * open.length)]
    if (start === undefined) return []
    const prefix = toUploadPrefix(name, job.uploadId)
    const after = toListingStart(name, job.uploadId, start)
    const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, after, limit: CHECKPOINT_PAGE_SIZE })
    if (page.isErr()) return []
    const found = new Map(page.value.items.map((object) => [parseChunkName(object.name)!.index, object]))
    const last = page.value.next === undefined ? job.chunks - 1 : Math.max(...found.keys())
    const candidates: Candidate[] = []
    for (let index = start; index <= last; index++) {
      const object = found.get(index)
      const checkpoint = object === undefined ? undefined : checkpointRecord.parse(object.value)
      if (checkpoint !== undefined && checkpoint.state !== 'open') ended.add(index)
      else candidates.push({ index, object, checkpoint })
    }
    return candidates
  }

  async function claimOne (known: TrackedJob, isHeld: (chunk: string) => boolean): Promise<ClaimedChunk | null> {
    const open = await readOpenChunks(known)
    const candidates = open.filter(({ object, checkpoint }) =>
      checkpoint === undefined || isClaimable(checkpoint, isHeld(object!.name)))
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS && candidates.length > 0; attempt++) {
      const [candidate] = candidates.splice(Math.floor(random() * candidates.length), 1)
      const claimed = await claimCandidate(known, candidate!)
      if (claimed !== null) return claimed
    }
    return null
  }

  async function claimCandidate (
    { name: job, job: record }: TrackedJob,
    candidate: Candidate
  ): Promise<ClaimedChunk | null> {
    const owner = context.getOwner()
    if (owner === undefined || !context.isLeaseHeld()) return null
    const name = toChunkName(job, record.uploadId, candidate.index)
    // The chunk is read first because the claim records its number of items.
    const chunk = await platform.get(OBJECT_KINDS.chunk, name)
    if (chunk.isErr()) return null
    if (chunk.value === null) {
      log.error({ job, chunk: name }, 'chunk object not found')
      return null
    }
    const { items } = chunkRecord.parse(chunk.value.value)
    const claim = candidate.object === undefined
      ? await writeCheckpoint(name, createFirstCheckpoint(owner, items.length), 0)
      : await takeOver(name, candidate.object)
    if (claim === null) return null
    // A cancellation is either visible to this read, which is no older than the claim, or it came after the claim, and
    // the runner that finalizes the job sees the claim.
    const { uploadId } = record
    if (await context.jobStates.read({ name: job, uploadId, since: claim.revision }) !== 'running') {
      await releaseClaim(name, claim)
      return null
    }
    metrics.count(candidate.object === undefined ? 'batch.claims.fresh' : 'batch.claims.takenOver')
    return { name, job, uploadId, account: record.account, items, ...claim }
  }

  async function writeCheckpoint (
    name: string,
    checkpoint: CheckpointRecord,
    ifRevision: number
  ): Promise<Claim | null> {
    const written = await platform.put(OBJECT_KINDS.checkpoint, name, checkpoint, { ifRevision })
    if (written.isOk()) return { checkpoint, revision: written.value.revision }
    metrics.countRetry('platformConflict')
    return null
  }

  async function takeOver (name: string, found: StoredObject): Promise<Claim | null> {
    const owner = context.getOwner()
    if (owner === undefined) return null
    const before = checkpointRecord.parse(found.value)
    return await writeCheckpoint(name, { ...before, owner, epoch: before.epoch + 1 }, found.revision)
  }

  /** Releases a claim under which no work was done. */
  async function releaseClaim (name: string, { checkpoint, revision }: Claim): Promise<void> {
    await writeCheckpoint(name, { ...checkpoint, owner: null }, revision)
  }

  return { claimOne, hasOpenChunk: async (known) => (await readOpenChunks(known)).length > 0, takeOver }
}

function createFirstCheckpoint (owner: ChunkOwner, items: number): CheckpointRecord {
  const counts = { done: 0, failed: 0, unknown: 0 }
  return { epoch: 1, owner, state: 'open', items, finished: '', started: '', counts, segments: [] }
}
