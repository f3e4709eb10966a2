/** Finds chunks that nobody works on and claims them by conditional writes. */
import {
  beforeChunkName, checkpointRecord, chunkName, chunkRecord, jobRecord, OBJECT_KINDS, parseChunkName, uploadPrefix,
  type CheckpointRecord, type ChunkOwner, type JobRecord, type StoredObject
} from '../shared'
import type { RunnerContext } from './context'
import type { ClaimedChunk } from './heldChunk'
import type { OwnerWatch } from './ownerWatch'

/** Checkpoints read with one call. */
export const PAGE_LIMIT = 100
/** Claims tried on one page; others may be faster. */
const CLAIM_TRIES = 3

/** A running job, and which of its chunks need no look any more. */
export interface KnownJob {
  name: string
  job: JobRecord
  /** Chunks that are complete or sealed. */
  ended: Set<number>
}

export interface Claims {
  /** Looks at one page of a job's checkpoints and claims a chunk there; null when none was free. */
  claimOne: (known: KnownJob, isHeld: (chunk: string) => boolean) => Promise<ClaimedChunk | null>
  /** Looks at one page of a job's checkpoints; true when a chunk there has not ended. */
  hasOpenChunk: (known: KnownJob) => Promise<boolean>
  /** Takes a chunk over, whoever holds it; null when someone else was faster. */
  takeOver: (name: string, found: StoredObject) => Promise<Claim | null>
}

/** A claim that the platform took. */
export interface Claim {
  checkpoint: CheckpointRecord
  revision: number
}

/** A chunk that has not ended; without a checkpoint when it was never claimed. */
interface Candidate {
  index: number
  object?: StoredObject
  checkpoint?: CheckpointRecord
}

/** Creates the claims of one runner. */
export function createClaims (context: RunnerContext, owners: OwnerWatch): Claims {
  const { platform, random, metrics, log } = context

  function isFree (checkpoint: CheckpointRecord, isHeld: boolean): boolean {
    const { owner } = checkpoint
    if (owner === null) return true
    const me = context.owner()
    // A claim whose answer was lost: it is this runner's, but nothing was done under it.
    if (owner.lease === me?.lease && owner.leaseEpoch === me.leaseEpoch) return !isHeld
    owners.note(owner)
    return owners.isGone(owner)
  }

  /** Reads one page of checkpoints from a chunk on that is not known to have ended. */
  async function readOpenChunks ({ name, job, ended }: KnownJob): Promise<Candidate[]> {
    const open = Array.from({ length: job.chunks }, (_, index) => index).filter((index) => !ended.has(index))
    const start = open[Math.floor(random() * open.length)]
    if (start === undefined) return []
    const prefix = uploadPrefix(name, job.uploadId)
    const after = beforeChunkName(name, job.uploadId, start)
    const page = await platform.list(OBJECT_KINDS.checkpoint, { prefix, after, limit: PAGE_LIMIT })
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

  async function claimOne (known: KnownJob, isHeld: (chunk: string) => boolean): Promise<ClaimedChunk | null> {
    const open = await readOpenChunks(known)
    const candidates = open.filter(({ object, checkpoint }) =>
      checkpoint === undefined || isFree(checkpoint, isHeld(object!.name)))
    for (let attempt = 0; attempt < CLAIM_TRIES && candidates.length > 0; attempt++) {
      const [candidate] = candidates.splice(Math.floor(random() * candidates.length), 1)
      const claimed = await claimChunk(known, candidate!)
      if (claimed !== null) return claimed
    }
    return null
  }

  async function claimChunk ({ name: job, job: record }: KnownJob, candidate: Candidate): Promise<ClaimedChunk | null> {
    const owner = context.owner()
    if (owner === undefined || !context.isLeaseHeld()) return null
    const name = chunkName(job, record.uploadId, candidate.index)
    // The chunk is read first: its size is part of the claim.
    const chunk = await platform.get(OBJECT_KINDS.chunk, name)
    if (chunk.isErr()) return null
    if (chunk.value === null) {
      log.error({ job, chunk: name }, 'chunk is missing')
      return null
    }
    const { items } = chunkRecord.parse(chunk.value.value)
    const claim = candidate.object === undefined
      ? await write(name, firstClaim(owner, items.length), 0)
      : await takeOver(name, candidate.object)
    if (claim === null) return null
    if (!await isStillRunning(job, record, claim)) {
      await giveUp(name, claim)
      return null
    }
    metrics.count(candidate.object === undefined ? 'batch.claims.fresh' : 'batch.claims.takenOver')
    return { name, job, account: record.account, items, ...claim }
  }

  async function write (name: string, checkpoint: CheckpointRecord, ifRevision: number): Promise<Claim | null> {
    const written = await platform.put(OBJECT_KINDS.checkpoint, name, checkpoint, { ifRevision })
    if (written.isOk()) return { checkpoint, revision: written.value.revision }
    metrics.retried('platformConflict')
    return null
  }

  async function takeOver (name: string, found: StoredObject): Promise<Claim | null> {
    const owner = context.owner()
    if (owner === undefined) return null
    const before = checkpointRecord.parse(found.value)
    return await write(name, { ...before, owner, epoch: before.epoch + 1 }, found.revision)
  }

  /**
   * Reads the job after the claim, no older than the claim itself: a cancellation either came before this read, or
   * whoever ends the job finds the claim.
   */
  async function isStillRunning (name: string, { uploadId }: JobRecord, claim: Claim): Promise<boolean> {
    const page = await platform.list(OBJECT_KINDS.job, { prefix: name, limit: 1 })
    if (page.isErr() || page.value.revision < claim.revision) return false
    const found = page.value.items.find((object) => object.name === name)
    if (found !== undefined) context.feed.offer(found)
    const job = jobRecord.safeParse(found?.value).data
    return job !== undefined && job.uploadId === uploadId && job.state === 'running'
  }

  /** Gives back a claim under which nothing was done. */
  async function giveUp (name: string, { checkpoint, revision }: Claim): Promise<void> {
    await write(name, { ...checkpoint, owner: null }, revision)
  }

  return { claimOne, hasOpenChunk: async (known) => (await readOpenChunks(known)).length > 0, takeOver }
}

function firstClaim (owner: ChunkOwner, items: number): CheckpointRecord {
  const counts = { done: 0, failed: 0, unknown: 0 }
  return { epoch: 1, owner, state: 'open', items, finished: '', started: '', counts, segments: [] }
}
