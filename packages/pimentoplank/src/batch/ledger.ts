/** Results and intents of one claimed chunk, and their commit to the platform. */
import {
  checkpointRecord, createBitmap, OBJECT_KINDS, PlatformConflict, segmentName,
  type BatchResult, type Bitmap, type CheckpointRecord, type PlatformClient, type StoredObject
} from '../shared'

/** `lost`: another runner has the chunk; nothing that was not committed counts. */
export type CommitOutcome = 'committed' | 'lost' | 'unavailable'

/** How work on the chunk ends here. */
export type ChunkEnd = 'complete' | 'sealed' | 'released'

export interface CommitChange {
  /** Items not to be repeated that are about to be dispatched. */
  intents?: readonly number[]
  /** Intents to take back, of items that were surely not dispatched. */
  withdrawn?: readonly number[]
  end?: ChunkEnd
}

export interface LedgerOptions {
  platform: PlatformClient
  /** Name of the chunk. */
  name: string
  /** The claim: checkpoint as this runner wrote it. */
  claim: CheckpointRecord
  revision: number
  /** Largest segment, in bytes. */
  maxSegmentBytes: number
}

export interface Ledger {
  /** Takes the result of an item; a second one for the same item is ignored. */
  record: (index: number, result: BatchResult) => void
  /** True when the item has a result, committed or not. */
  hasResult: (index: number) => boolean
  /** True when the item's intent is in the platform. */
  hasIntent: (index: number) => boolean
  /** Results that wait for a commit. */
  pendingItems: () => number
  pendingBytes: () => number
  /** True once every item has a committed result. */
  isComplete: () => boolean
  /** Writes what waits, and the change; commits run one after the other. */
  commit: (change?: CommitChange) => Promise<CommitOutcome>
  /** Reads the checkpoint and tells whether this runner still has the chunk. */
  verify: () => Promise<CommitOutcome>
}

interface PendingResult {
  index: number
  result: BatchResult
  bytes: number
}

/** One write of segment and checkpoint, unchanged until it is known whether it took effect. */
interface Attempt {
  segment?: { name: string, results: BatchResult[] }
  next: CheckpointRecord
}

const COUNT_OF_STATUS = { done: 'done', failed: 'failed', unknown: 'unknown' } as const

/** Opens the ledger of a claimed chunk. */
export function createLedger (options: LedgerOptions): Ledger {
  const { platform, name, claim, maxSegmentBytes } = options
  const finished = createBitmap(claim.items, claim.finished)
  let committed = claim
  let started = createBitmap(claim.items, claim.started)
  let revision = options.revision
  let sequence = 0
  let pending: PendingResult[] = []
  let attempt: Attempt | undefined
  let isLost = false
  let lastCommit: Promise<CommitOutcome> = Promise.resolve('committed')

  function record (index: number, result: BatchResult): void {
    if (finished.has(index)) return
    finished.add(index)
    pending.push(fitResult(index, result, maxSegmentBytes))
  }

  function takeBatch (): PendingResult[] {
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

  function buildAttempt (change: CommitChange): Attempt {
    const batch = takeBatch()
    const finishedNext = createBitmap(claim.items, committed.finished)
    const counts = { ...committed.counts }
    for (const { index, result } of batch) {
      finishedNext.add(index)
      counts[COUNT_OF_STATUS[result.status]]++
    }
    const next: CheckpointRecord = {
      ...committed,
      finished: finishedNext.encode(),
      started: changeIntents(claim.items, committed.started, change).encode(),
      counts
    }
    // An end covers every result, so it waits for the last segment.
    if (change.end !== undefined && pending.length === 0) Object.assign(next, endFields(change.end))
    if (batch.length === 0) return { next }
    const segment = { name: segmentName(name, claim.epoch, sequence++), results: batch.map(({ result }) => result) }
    next.segments = [...committed.segments, { name: segment.name, results: batch.length }]
    return { segment, next }
  }

  async function send ({ segment, next }: Attempt): Promise<CommitOutcome> {
    if (segment !== undefined) {
      const { results } = segment
      const stored = await platform.put(OBJECT_KINDS.segment, segment.name, { results }, { ifRevision: 0 })
      // Only this holder, at this epoch, writes this name: a segment that is there already is its own.
      if (stored.isErr() && !(stored.error instanceof PlatformConflict)) return 'unavailable'
    }
    const written = await platform.put(OBJECT_KINDS.checkpoint, name, next, { ifRevision: revision })
    if (written.isOk()) return accept(next, written.value.revision)
    if (!(written.error instanceof PlatformConflict)) return 'unavailable'
    return await settleConflict({ segment, next }, written.error)
  }

  function accept (next: CheckpointRecord, newRevision: number): CommitOutcome {
    committed = next
    revision = newRevision
    started = createBitmap(claim.items, next.started)
    attempt = undefined
    return 'committed'
  }

  async function settleConflict ({ segment, next }: Attempt, { current }: PlatformConflict): Promise<CommitOutcome> {
    const found = checkpointRecord.safeParse(current?.value).data
    // The same attempt took effect earlier and its answer was lost.
    if (found !== undefined && JSON.stringify(found) === JSON.stringify(checkpointRecord.parse(next))) {
      return accept(next, current!.revision)
    }
    isLost = true
    // A later holder goes on from what the attempt wrote, if it took effect before the chunk changed hands.
    const isListed = found?.segments.some((listed) => listed.name === segment?.name) ?? false
    if (segment !== undefined && !isListed) await platform.remove(OBJECT_KINDS.segment, segment.name)
    return 'lost'
  }

  function isNeeded (change: CommitChange): boolean {
    const changesIntents = change.intents?.some((index) => !started.has(index)) === true ||
      change.withdrawn?.some((index) => started.has(index)) === true
    return pending.length > 0 || changesIntents || (change.end !== undefined && !hasEnded(committed, change.end))
  }

  async function commitNow (change: CommitChange): Promise<CommitOutcome> {
    for (;;) {
      if (isLost) return 'lost'
      if (attempt === undefined) {
        if (!isNeeded(change)) return 'committed'
        attempt = buildAttempt(change)
      }
      const outcome = await send(attempt)
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
    isLost ||= !isOwn(read.value, claim)
    return isLost ? 'lost' : 'committed'
  }

  return {
    record,
    hasResult: (index) => finished.has(index),
    hasIntent: (index) => started.has(index),
    pendingItems: () => pending.length + (attempt?.segment?.results.length ?? 0),
    pendingBytes: () => pending.reduce((sum, { bytes }) => sum + bytes, 0),
    isComplete: () => {
      const { done, failed, unknown } = committed.counts
      return done + failed + unknown === claim.items
    },
    commit,
    verify
  }
}

/** True when the checkpoint still belongs to the claim. */
function isOwn (object: StoredObject | null, claim: CheckpointRecord): boolean {
  const found = checkpointRecord.safeParse(object?.value).data
  return found !== undefined && found.epoch === claim.epoch && found.state === 'open'
}

function fitResult (index: number, result: BatchResult, maxBytes: number): PendingResult {
  const bytes = Buffer.byteLength(JSON.stringify(result))
  if (bytes <= maxBytes) return { index, result, bytes }
  const error = { reason: 'bodyTooLarge', detail: `the answer has ${bytes} bytes` }
  return { index, result: { id: result.id, status: 'failed', error }, bytes: maxBytes }
}

function changeIntents (items: number, encoded: string, { intents = [], withdrawn = [] }: CommitChange): Bitmap {
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

function endFields (end: ChunkEnd): Partial<CheckpointRecord> {
  return END_FIELDS[end]
}

function hasEnded (record: CheckpointRecord, end: ChunkEnd): boolean {
  const fields = endFields(end)
  return record.owner === null && (fields.state === undefined || record.state === fields.state)
}
