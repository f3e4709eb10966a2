/** Reads results and request bodies of batch jobs, from the owner or from the platform. */
import { LRUCache } from 'lru-cache'
import { err, ok, type Result } from 'neverthrow'
import {
  PlatformRejected, RefusalError, type Clock, type Log, type Metrics, type PlatformError
} from '../../shared'
import type { PeerView } from '../gossip'
import type { JobInputs } from './jobInputs'
import { toKnownJob, type JobRegistry } from './jobRegistry'
import type { JobStore } from './jobStore'
import { countChars, MAX_CACHED_CHARS, measureFitting } from './objectSize'
import type { OwnedJob } from './ownedJob'
import { PEER_TIMEOUT_MS, type GetJobClient } from './peerJobs'
import type { RecordFollower } from './recordFollower'
import type { ItemResult, JobRecord } from './records'

export interface ResultPage {
  /** Items of the job. */
  total: number
  results: readonly ItemResult[]
  /** Size of the results in JSON, so that there is room for them before they are encoded. */
  bytes: number
}

export interface ResultReaderOptions {
  self: string
  jobRegistry: JobRegistry
  store: JobStore
  inputs: JobInputs
  getClient: GetJobClient
  peers: () => readonly PeerView[]
  recordFollower: Pick<RecordFollower, 'mayDenyResults' | 'refresh'>
  /** True while results of an owned job may be stored of which this instance doesn't know it yet. */
  hasResultsInDoubt: (job: OwnedJob) => boolean
  /** Called with a job that is stored under this instance without being known here. */
  onUnknown: (job: string) => void
  /** Maximum number of reads that wait for a result; any others are answered at once with what there is. */
  maxWaitingReads?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface ResultReader {
  /** Reads results from a position on; waits up to `waitMs` milliseconds for one. */
  read: (job: string, after: number, waitMs: number) => Promise<Result<ResultPage, RefusalError>>
  /** Reads results of an owned job; undefined when this instance does not own it, or can't tell. */
  readOwned: (job: string, after: number, waitMs: number) => Promise<ResultPage | undefined>
  /** Reads the request body of an item, in base64. */
  body: (job: string, item: string) => Promise<Result<string, RefusalError>>
}

/** Maximum size of the results in one answer, in bytes of JSON; a larger result is answered alone. */
const MAX_PAGE_BYTES = 900_000
export const PLATFORM_RETRY_MS = 1000
/** Maximum length of the results of one job in the cache, in characters. */
const MAX_CACHED_JOB_CHARS = MAX_CACHED_CHARS / 2
const MAX_WAITING_READS = 1000

interface CachedJob {
  record: JobRecord
  results: ItemResult[]
  segments: number
}

/** Creates the result reader of an instance. */
export function createResultReader (options: ResultReaderOptions): ResultReader {
  const {
    self, jobRegistry: registry, store, getClient, maxWaitingReads = MAX_WAITING_READS, clock, metrics, log
  } = options
  let waitingReads = 0
  const cache = new LRUCache<string, CachedJob>({
    maxSize: MAX_CACHED_CHARS, sizeCalculation: ({ results }) => countChars(getTexts(results))
  })

  async function readOwned (id: string, after: number, waitMs: number): Promise<ResultPage | undefined> {
    const until = clock.now() + waitMs
    for (;;) {
      const job = registry.get(id)
      if (job === undefined) return undefined
      const leftMs = until - clock.now()
      // Results stay where they are, so that these hold whoever owns the job now.
      if (job.storedResults().length > after || job.isComplete()) return toPage(job, after)
      const mayWait = leftMs > 0 && !job.isEnded() && hasRoomToWait(job)
      if (!mayWait) return await confirmPage(job, after)
      waitingReads += 1
      await job.waitForChange(leftMs)
      waitingReads -= 1
    }
  }

  function hasRoomToWait (job: OwnedJob): boolean {
    if (waitingReads < maxWaitingReads) return true
    metrics.count('jobs.readsNotWaiting')
    log.info({ job: job.id, limit: maxWaitingReads }, 'read of results does not wait: too many do')
    return false
  }

  /** That there are no further results is true only of the job's owner, and another instance may be that now. */
  async function confirmPage (job: OwnedJob, after: number): Promise<ResultPage | undefined> {
    const { recordFollower } = options
    if (!job.isEnded() && !recordFollower.mayDenyResults(job)) await recordFollower.refresh()
    const isOwner = registry.get(job.id) === job && (job.isEnded() || recordFollower.mayDenyResults(job))
    const isKnown = isOwner && !options.hasResultsInDoubt(job)
    if (!isKnown) log.info({ job: job.id, after, ageMs: Math.round(clock.now() - job.confirmedAt()) }, 'results not denied: the job may have another owner')
    return isKnown ? toPage(job, after) : undefined
  }

  function toPage (job: OwnedJob, after: number): ResultPage {
    return takePage(job.record(), job.storedResults().slice(after))
  }

  async function readPage (id: string, after: number, waitMs: number): Promise<Result<ResultPage, RefusalError>> {
    const owned = await readOwned(id, after, waitMs)
    if (owned !== undefined) return ok(owned)
    const asked = new Set<string>()
    const known = registry.getKnown(id)
    if (known !== undefined) {
      asked.add(known.owner)
      const page = await readFromOwner(known.owner, id, after, waitMs)
      if (page !== undefined) return ok(page)
    }
    const stored = await readStored(id)
    if (stored.isErr()) return readCached(id, after) ?? err(stored.error)
    const { record } = stored.value
    registry.update(id, toKnownJob(record), 'record')
    if (record.owner === self && !record.finished && !record.ended) options.onUnknown(id)
    if (!asked.has(record.owner) && record.owner !== self) {
      const page = await readFromOwner(record.owner, id, after, waitMs)
      if (page !== undefined) return ok(page)
    }
    return await readSegments(id, stored.value, after)
  }

  async function readFromOwner (
    owner: string,
    job: string,
    after: number,
    waitMs: number
  ): Promise<ResultPage | undefined> {
    const peer = options.peers().find(({ report }) => report.instance === owner)
    if (peer === undefined) return undefined
    try {
      const res = await getClient(peer.report.peerAddress)
        .readResults({ job, after, waitMs, maxBytes: MAX_PAGE_BYTES }, { timeoutMs: waitMs + PEER_TIMEOUT_MS })
      if (!res.isOwner) return undefined
      // The owner may allow other pages.
      return takePage(res, res.results.map(({ item, completed, text }) => ({ item, completed, text })), Infinity)
    } catch (cause) {
      metrics.countRetry('peerUnavailable')
      log.info({ job, owner, cause: String(cause) }, 'job owner did not answer')
      return undefined
    }
  }

  async function readStored (id: string): Promise<Result<{ record: JobRecord }, RefusalError>> {
    const cached = cache.get(id)
    if (cached?.record.finished === true) return ok(cached)
    const found = await store.read(id)
    if (found.isErr()) return err(toReadRefusal(found.error))
    if (found.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
    return ok(found.value)
  }

  /** Returns results that were read before, which hold also while the platform is away; undefined without any. */
  function readCached (id: string, after: number): Result<ResultPage, never> | undefined {
    const cached = cache.get(id)
    if (cached === undefined || cached.results.length <= after) return undefined
    return ok(takePage(cached.record, cached.results.slice(after)))
  }

  /** Reads stored results up to the end of a page; segments are immutable, so the first ones of a job are cached. */
  async function readSegments (
    id: string,
    { record }: { record: JobRecord },
    after: number
  ): Promise<Result<ResultPage, RefusalError>> {
    const { results = [], segments = 0 } = cache.get(id) ?? {}
    const cached: CachedJob = { record, results: [...results], segments }
    const wanted = results.slice(after)
    let position = results.length
    let isCached = true
    for (let index = segments; position < record.total && countChars(getTexts(wanted)) <= MAX_PAGE_BYTES; index++) {
      const segment = await store.readSegment(id, index)
      if (segment.isErr()) {
        cache.set(id, cached)
        return err(toReadRefusal(segment.error))
      }
      if (segment.value === undefined) break
      wanted.push(...segment.value.slice(Math.max(0, after - position)))
      position += segment.value.length
      isCached &&= countChars(getTexts([...cached.results, ...segment.value])) <= MAX_CACHED_JOB_CHARS
      if (!isCached) continue
      cached.results.push(...segment.value)
      cached.segments += 1
    }
    cache.set(id, cached)
    return ok(takePage(record, wanted))
  }

  async function findBody (id: string, item: string): Promise<Result<string, RefusalError>> {
    const own = registry.get(id)?.findItem(item)
    if (own?.body !== undefined) return ok(own.body)
    const items = await options.inputs.read(id)
    if (items.isErr()) return err(toReadRefusal(items.error))
    if (items.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
    const found = items.value.find((one) => one.id === item)
    if (found === undefined) return err(new RefusalError('notFound', { detail: `no item ${item} in job ${id}` }))
    return ok(found.body)
  }

  return { read: readPage, readOwned, body: findBody }
}

/** Returns the refusal of a call for which the platform could not be read or written. */
export function toReadRefusal (cause: PlatformError): RefusalError {
  const reason = cause instanceof PlatformRejected ? 'badRequest' : 'platformDown'
  return new RefusalError(reason, { retryAfterMs: PLATFORM_RETRY_MS, cause })
}

function getTexts (results: readonly ItemResult[]): string[] {
  return results.map(({ text }) => text)
}

function takePage (
  { total }: Pick<ResultPage, 'total'>, left: readonly ItemResult[], maxBytes = MAX_PAGE_BYTES
): ResultPage {
  const { taken, bytes } = measureFitting(left, maxBytes)
  return { total, results: taken, bytes }
}
