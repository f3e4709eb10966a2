/** Collects the results and intents of one claimed chunk and commits them to its checkpoint. */
import {
  checkpointRecord, createBitmap, OBJECT_KINDS, PlatformConflict, toSegmentName,
  type BatchResult, type Bitmap, type CheckpointRecord, type PlatformClient, type StoredObject
} from '../shared'

/** `lost`: the claim is no longer valid, and whatever was not committed is discarded. */
export type CommitOutcome = 'committed' | 'lost' | 'unavailable'

/** How processing of the chunk ends on this runner. */
export type ChunkEnd = 'complete' | 'sealed' | 'released'

export interface CommitChange {
  /** Indexes of at-most-once items that are about to be dispatched. */
  intents?: readonly number[]
  /** Indexes of items whose intents are withdrawn because they were certainly not dispatched. */
  withdrawn?: readonly number[]
  end?: ChunkEnd
}

export interface CheckpointWriterOptions {
  platform: PlatformClient
  /** Name of the chunk. */
  name: string
  /** Checkpoint as written by this runner's claim. */
  claim: CheckpointRecord
  /** Revision of that checkpoint. */
  revision: number
  /** Largest segment, in bytes. */
  maxSegmentBytes: number
}

export interface CheckpointWriter {
  /** Records the result of an item; a second result for the same item is ignored. */
  record: (index: number, result: BatchResult) => void
  /** True when the item has a result, committed or not. */
  hasResult: (index: number) => boolean
  /** True when the item's intent is committed. */
  hasIntent: (index: number) => boolean
  /** Counts the results that are not committed yet. */
  countPendingResults: () => number
  /** Returns the size of the results that are not part of a commit attempt yet. */
  getPendingBytes: () => number
  /** True once every item has a committed result. */
  isComplete: () => boolean
  /** Commits all pending results together with the change; commits run one at a time. */
  commit: (change?: CommitChange) => Promise<CommitOutcome>
  /** Reads the checkpoint and checks that the claim is still valid. */
  verify: () => Promise<CommitOutcome>
}

interface PendingResult {
  index: number
  result: BatchResult
  bytes: number
}

/** One write of segment and checkpoint; retried unchanged until it is known whether it took effect. */
interface CommitAttempt {
  segment?: { name: string, results: BatchResult[] }
  next: CheckpointRecord
}

const COUNTER_BY_STATUS = { done: 'done', failed: 'failed', unknown: 'unknown' } as const

/** Creates the checkpoint writer of a claimed chunk. */
export function createCheckpointWriter (options: CheckpointWriterOptions): CheckpointWriter {
  const { platform, name, claim, maxSegmentBytes } = options
  const finished = createBitmap(claim.items, claim.finished)
  let committed = claim
  let started = createBitmap(claim.items, claim.started)
  let revision = options.revision
  let sequence = 0
  let pending: PendingResult[] = []
  let attempt: CommitAttempt | undefined
  let isLost = false
  let lastCommit: Promise<CommitOutcome> = Promise.resolve('committed')

  function record (index: number, result: BatchResult): void {
    if (finished.has(index)) return
    finished.add(index)
    pending.push(toPendingResult(index, result, maxSegmentBytes))
  }

  function dequeueBatch (): PendingResult[] {
    let bytes = 0
    let count = 0
    while (count < pending.length && (count === 0 || bytes + pending[count]!.bytes <= maxSegmentBytes)) {
      bytes += pending[count]!.bytes
      count++
    }
    const batch = pending.slice(0, count)
    pending = pending.slice(count)
    return batch
  }

  function buildAttempt (change: CommitChange): CommitAttempt {
    const batch = dequeueBatch()
    const nextFinished = createBitmap(claim.items, committed.finished)
    const counts = { ...committed.counts }
    for (const { index, result } of batch) {
      nextFinished.add(index)
      counts[COUNTER_BY_STATUS[result.status]]++
    }
    const next: CheckpointRecord = {
      ...committed,
      finished: nextFinished.encode(),
      started: applyIntents(claim.items, committed.started, change).encode(),
      counts
    }
    // The chunk may only end once every result is committed, so the end is part of the last segment's commit.
    if (change.end !== undefined && pending.length === 0) Object.assign(next, getEndFields(change.end))
    if (batch.length === 0) return { next }
    const segment = { name: toSegmentName(name, claim.epoch, sequence++), results: batch.map(({ result }) => result) }
    next.segments = [...committed.segments, { name: segment.name, results: batch.length }]
    return { segment, next }
  }

  async function writeAttempt ({ segment, next }: CommitAttempt): Promise<CommitOutcome> {
    if (segment !== undefined) {
      const { results } = segment
      const stored = await platform.put(OBJECT_KINDS.segment, segment.name, { results }, { ifRevision: 0 })
      // Only this owner writes this name in this epoch, so an existing segment is from an earlier try of this attempt.
      if (stored.isErr() && !(stored.error instanceof PlatformConflict)) return 'unavailable'
    }
    const written = await platform.put(OBJECT_KINDS.checkpoint, name, next, { ifRevision: revision })
    if (written.isOk()) return applyCommit(next, written.value.revision)
    if (!(written.error instanceof PlatformConflict)) return 'unavailable'
    return await resolveConflict({ segment, next }, written.error)
  }

  function applyCommit (next: CheckpointRecord, newRevision: number): CommitOutcome {
    committed = next
    revision = newRevision
    started = createBitmap(claim.items, next.started)
    attempt = undefined
    return 'committed'
  }

  async function resolveConflict (
    { segment, next }: CommitAttempt,
    { current }: PlatformConflict
  ): Promise<CommitOutcome> {
    const found = checkpointRecord.safeParse(current?.value).data
    // The same attempt took effect earlier, and its response was lost.
    if (found !== undefined && JSON.stringify(found) === JSON.stringify(checkpointRecord.parse(next))) {
      return applyCommit(next, current!.revision)
    }
    isLost = true
    // If the attempt took effect before the takeover, the new owner's checkpoint lists the segment, which must stay.
    const isListed = found?.segments.some((listed) => listed.name === segment?.name) ?? false
    if (segment !== undefined && !isListed) await platform.remove(OBJECT_KINDS.segment, segment.name)
    return 'lost'
  }

  function hasChanges (change: CommitChange): boolean {
    const changesIntents = change.intents?.some((index) => !started.has(index)) === true ||
      change.withdrawn?.some((index) => started.has(index)) === true
    return pending.length > 0 || changesIntents || (change.end !== undefined && !hasEnded(committed, change.end))
  }

  async function commitNow (change: CommitChange): Promise<CommitOutcome> {
    for (;;) {
      if (isLost) return 'lost'
      if (attempt === undefined) {
        if (!hasChanges(change)) return 'committed'
        attempt = buildAttempt(change)
      }
      const outcome = await writeAttempt(attempt)
      if (outcome !== 'committed') return outcome
    }
  }

  async function commit (change: CommitChange = {}): Promise<CommitOutcome> {
    lastCommit = lastCommit.then(async () => await commitNow(change))
    return await lastCommit
  }

  async function verify (): Promise<CommitOutcome> {
    const read = await platform.get(OBJECT_KINDS.checkpoint, name)
    if (read.isErr()) return 'unavailable'
    isLost ||= !isOwnClaim(read.value, claim)
    return isLost ? 'lost' : 'committed'
  }

  return {
    record,
    hasResult: (index) => finished.has(index),
    hasIntent: (index) => started.has(index),
    countPendingResults: () => pending.length + (attempt?.segment?.results.length ?? 0),
    getPendingBytes: () => pending.reduce((sum, { bytes }) => sum + bytes, 0),
    isComplete: () => {
      const { done, failed, unknown } = committed.counts
      return done + failed + unknown === claim.items
    },
    commit,
    verify
  }
}

/** True when no other claim or end has replaced the claim's checkpoint. */
function isOwnClaim (object: StoredObject | null, claim: CheckpointRecord): boolean {
  const found = checkpointRecord.safeParse(object?.value).data
  return found !== undefined && found.epoch === claim.epoch && found.state === 'open'
}

function toPendingResult (index: number, result: BatchResult, maxBytes: number): PendingResult {
  const bytes = Buffer.byteLength(JSON.stringify(result))
  if (bytes <= maxBytes) return { index, result, bytes }
  const error = { reason: 'bodyTooLarge', detail: `the answer has ${bytes} bytes` }
  return { index, result: { id: result.id, status: 'failed', error }, bytes: maxBytes }
}

function applyIntents (items: number, encoded: string, { intents = [], withdrawn = [] }: CommitChange): Bitmap {
  const before = createBitmap(items, encoded)
  const after = createBitmap(items)
  for (const index of before.values()) if (!withdrawn.includes(index)) after.add(index)
  for (const index of intents) after.add(index)
  return after
}

const END_FIELDS: Record<ChunkEnd, Partial<CheckpointRecord>> = {
  complete: { state: 'complete', owner: null },
  sealed: { state: 'sealed', owner: null },
  released: { owner: null }
}

function getEndFields (end: ChunkEnd): Partial<CheckpointRecord> {
  return END_FIELDS[end]
}

function hasEnded (record: CheckpointRecord, end: ChunkEnd): boolean {
  const fields = getEndFields(end)
  return record.owner === null && (fields.state === undefined || record.state === fields.state)
}
