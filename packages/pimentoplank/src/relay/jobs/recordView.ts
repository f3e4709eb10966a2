/** The open jobs of all instances as the stored records tell, complete up to a revision of the store. */
import { err, ok, type Result } from 'neverthrow'
import { PlatformUnavailable, type Clock, type Metrics, type PlatformError } from '../../shared'
import type { JobStore, RecordChanges, StoredJob } from './jobStore'

export interface RecordView {
  /** Records of jobs that are neither ended nor finished, by job id; empty before the first read. */
  getOpen: () => ReadonlyMap<string, StoredJob>
  /** Time since the records were certainly current, in milliseconds; infinite before the first read. */
  getAgeMs: () => number
  /** Reads the changes that are stored by now. Calls that come together share one read. */
  refresh: () => Promise<Result<void, PlatformError>>
  /** Reads until all changes up to a revision are known; fails if the platform does not answer. */
  reach: (revision: number) => Promise<Result<void, PlatformError>>
}

export interface RecordViewOptions {
  store: Pick<JobStore, 'readAll' | 'readChanges'>
  clock: Clock
  metrics: Metrics
}

/** Time allowed for an answer, in milliseconds. */
const READ_TIMEOUT_MS = 2000
/** Shortest time between the starts of two reads, in milliseconds. */
const READ_GAP_MS = 30
/** Time after which the next read does not wait for the answer of the one before, in milliseconds. */
const OVERLAP_AFTER_MS = 150
/** Number of reads for one call, as an answer may be lost or may hold only the first changes. */
const MAX_READS = 3
/** Time after which one call begins no further read, in milliseconds. */
const LAST_READ_AFTER_MS = 1500

/** Creates the view of an instance. It makes no calls by itself. */
export function createRecordView ({ store, clock, metrics }: RecordViewOptions): RecordView {
  const open = new Map<string, StoredJob>()
  /** Revision up to which all changes are known; undefined before the first read. */
  let known: number | undefined
  let asOf = -Infinity
  let startedAt = -Infinity
  /** Read that was sent last. */
  let latest: Promise<unknown> = Promise.resolve()
  /** Read that has not been sent yet. */
  let next: Promise<Result<void, PlatformError>> | undefined

  function apply ({ revision, asOf: readAt, isComplete, records }: RecordChanges): void {
    // A read that was overtaken by a later one has nothing new.
    if (revision < (known ?? 0)) return
    if (isComplete) open.clear()
    for (const [id, stored] of records) {
      if (stored === undefined || stored.record.ended || stored.record.finished) open.delete(id)
      else open.set(id, stored)
    }
    known = revision
    asOf = Math.max(asOf, readAt)
  }

  async function read (): Promise<Result<void, PlatformError>> {
    // Calls that are made meanwhile share this read.
    await Promise.race([latest, clock.sleep(Math.max(0, startedAt + OVERLAP_AFTER_MS - clock.now()))])
    await clock.sleep(Math.max(0, startedAt + READ_GAP_MS - clock.now()))
    next = undefined
    startedAt = clock.now()
    const reading = call()
    latest = reading
    return (await reading).map(apply)
  }

  async function call (): Promise<Result<RecordChanges, PlatformError>> {
    return known === undefined ? await store.readAll() : await store.readChanges(known, READ_TIMEOUT_MS)
  }

  async function refresh (): Promise<Result<void, PlatformError>> {
    next ??= read()
    return await next
  }

  async function reach (revision: number): Promise<Result<void, PlatformError>> {
    let failure: PlatformError | undefined
    const until = clock.now() + LAST_READ_AFTER_MS
    for (let reads = 0; reads < MAX_READS && clock.now() <= until; reads++) {
      if ((known ?? -Infinity) >= revision) return ok(undefined)
      if (failure !== undefined) metrics.countRetry('platformUnavailable')
      const done = await refresh()
      failure = done.isErr() ? done.error : undefined
    }
    if ((known ?? -Infinity) >= revision) return ok(undefined)
    return err(failure ?? new PlatformUnavailable(`records up to revision ${revision} could not be read`))
  }

  return { getOpen: () => open, getAgeMs: () => clock.now() - asOf, refresh, reach }
}
