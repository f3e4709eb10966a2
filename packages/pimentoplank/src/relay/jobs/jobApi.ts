/** Caller-facing operations on batch jobs: submit, read results, read an item's body, end. */
import { LRUCache } from 'lru-cache'
import { err, ok, type Result } from 'neverthrow'
import { createClient, type Client } from '@connectrpc/connect'
import {
  describeCause, JobService, PlatformConflict, PlatformRejected, PlatformUnavailable, RefusalError,
  type Clock, type Log, type Metrics, type PeerTransports, type PlatformError, type Random
} from '../../shared'
import { computeOutageRetryMs } from '../decisions'
import type { PeerView } from '../gossip'
import type { Route } from '../model'
import type { JobRegistry } from './jobRegistry'
import type { JobManager } from './jobManager'
import { splitItems, type JobStore } from './jobStore'
import type { OwnedJob } from './ownedJob'
import type { RecordFollower } from './recordFollower'
import type { Quota } from './quota'
import type { ItemResult, JobItem, JobRecord } from './records'

export interface JobSubmission {
  id: string
  host: string
  route: Route
  items: readonly JobItem[]
  /** Time until the caller's deadline, in milliseconds; undefined when none was given. */
  remainingMs?: number
}

export interface ResultPage {
  /** Items of the job. */
  total: number
  results: readonly ItemResult[]
}

export interface JobApi {
  submit: (job: JobSubmission) => Promise<Result<void, RefusalError>>
  /**
   * Reads results from a position on.
   *
   * @param job - id of the job
   * @param after - number of results to skip
   * @param waitMs - how long to wait for a result, in milliseconds
   */
  read: (job: string, after: number, waitMs: number) => Promise<Result<ResultPage, RefusalError>>
  /** Reads the request body of an item. */
  body: (job: string, item: string) => Promise<Result<Uint8Array, RefusalError>>
  end: (job: string) => Promise<Result<void, RefusalError>>
  /** Reads results of an owned job; undefined when this instance does not own it. */
  readOwned: (job: string, after: number, waitMs: number) => Promise<ResultPage | undefined>
}

export interface JobApiOptions {
  self: string
  jobRegistry: JobRegistry
  jobManager: JobManager
  store: JobStore
  transports: PeerTransports
  peers: () => readonly PeerView[]
  quota: Quota
  recordFollower: Pick<RecordFollower, 'mayDenyResults' | 'refresh'>
  /** Called after a job is accepted. */
  onAccepted: () => void
  isLeaving: () => boolean
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

/** Maximum of result characters in one answer. */
const MAX_PAGE_CHARS = 900_000
/** Timeout of a call to a peer, in addition to the requested wait, in milliseconds. */
const PEER_TIMEOUT_MS = 600
/** Retry-after of a job refused for its quota, in milliseconds. */
const QUOTA_RETRY_MS = 2000
const PLATFORM_RETRY_MS = 1000
const CACHED_JOBS = 200
const CACHED_INPUTS = 50

interface CachedJob {
  record: JobRecord
  results: ItemResult[]
  segments: number
}

/** Creates the job operations of an instance. */
export function createJobApi (options: JobApiOptions): JobApi {
  const { self, jobRegistry: registry, jobManager: manager, store, clock, log } = options
  const clients = new Map<string, Client<typeof JobService>>()
  const cache = new LRUCache<string, CachedJob>({ max: CACHED_JOBS })
  const inputs = new LRUCache<string, readonly JobItem[]>({ max: CACHED_INPUTS })

  function getClient (address: string): Client<typeof JobService> {
    let client = clients.get(address)
    if (client === undefined) {
      client = createClient(JobService, options.transports.get(address))
      clients.set(address, client)
    }
    return client
  }

  async function submit (job: JobSubmission): Promise<Result<void, RefusalError>> {
    const { id, route, items } = job
    if (registry.get(id) !== undefined || registry.getKnown(id) !== undefined) return ok(undefined)
    if (options.isLeaving()) return err(new RefusalError('addressMoved', { retryAfterMs: 0 }))
    const unavailable = await checkStore(job)
    if (unavailable !== undefined) return err(unavailable)
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0)
    const limit = route.batch?.maxWaitingTokens ?? 0
    const room = await options.quota.check(route.name, tokens, limit)
    if (room.isErr()) return err(toStoreRefusal(id, room.error))
    if (!room.value.fits) return await refuseOverQuota(id, tokens, limit)
    const record: JobRecord = {
      route: route.name,
      host: job.host,
      owner: self,
      epoch: 1,
      submittedAt: clock.wallTime(),
      total: items.length,
      inputParts: splitItems(items).length,
      tokens,
      ended: false,
      finished: false
    }
    const created = await store.create(id, record, items)
    if (created.isErr()) return err(toStoreRefusal(id, created.error))
    const confirmed = created.value.created ? await room.value.confirm(id, created.value.revision) : ok(true)
    if (confirmed.isErr()) return err(toStoreRefusal(id, confirmed.error))
    if (!confirmed.value) return await refuseOverQuota(id, tokens, limit)
    const { record: kept } = created.value
    if (created.value.created || kept.owner === self) {
      if (registry.get(id) === undefined && !kept.ended && !kept.finished) manager.openJob(id, created.value, items)
      options.onAccepted()
    } else {
      registry.update(id, { owner: kept.owner, epoch: kept.epoch, ended: kept.ended }, 'record')
    }
    log.info({
      job: id, route: route.name, items: items.length, tokens, owner: kept.owner, created: created.value.created
    }, 'job accepted')
    return ok(undefined)
  }

  /**
   * Refuses a job while the platform is away, before anything of it is written: what a write without an answer has done
   * is not known, so that its caller can't be told when to come back.
   */
  async function checkStore ({ id, remainingMs }: JobSubmission): Promise<RefusalError | undefined> {
    if (store.isAvailable()) return undefined
    const found = await store.read(id)
    if (found.isOk()) return undefined
    const retryAfterMs = computeOutageRetryMs(remainingMs, options.random)
    log.warn({ job: id, retryAfterMs: Math.round(retryAfterMs), cause: found.error.message }, 'job refused: the platform is away')
    return new RefusalError('platformDown', { outcome: 'not_run', retryAfterMs, cause: found.error })
  }

  /** Refuses a job over quota, unless it was accepted before: resubmission succeeds whatever the quota. */
  async function refuseOverQuota (id: string, tokens: number, limit: number): Promise<Result<void, RefusalError>> {
    const known = await store.read(id)
    if (known.isErr()) return err(toReadRefusal(known.error))
    if (known.value !== undefined) return ok(undefined)
    log.info({ job: id, tokens, limit }, 'job refused: waiting tokens exceed the limit')
    return err(new RefusalError('accountLimit', { retryAfterMs: QUOTA_RETRY_MS }))
  }

  function toStoreRefusal (id: string, cause: PlatformError): RefusalError {
    const mayExist = cause instanceof PlatformUnavailable && cause.maybeApplied
    log.warn({ job: id, mayExist, cause: cause.message }, 'job could not be stored')
    if (mayExist) settle(id)
    const retryAfterMs = PLATFORM_RETRY_MS
    return new RefusalError('platformDown', { outcome: mayExist ? 'unknown' : 'not_run', retryAfterMs, cause })
  }

  /** Checks in the background whether a job is stored under this instance without being known here. */
  function settle (id: string): void {
    manager.resolveSubmission(id).catch((cause: unknown) => log.error({
      job: id, cause: describeCause(cause)
    }, 'check whether the job was stored failed'))
  }

  async function readOwned (id: string, after: number, waitMs: number): Promise<ResultPage | undefined> {
    const until = clock.now() + waitMs
    for (;;) {
      const job = registry.get(id)
      if (job === undefined) return undefined
      const leftMs = until - clock.now()
      // Results stay where they are, so that these hold whoever owns the job now.
      if (job.storedResults().length > after || job.isComplete()) return toPage(job, after)
      if (leftMs <= 0 || job.isEnded()) return await confirmPage(job, after)
      await job.waitForChange(leftMs)
    }
  }

  /** That there are no further results is true only of the job's owner, and another instance may be that now. */
  async function confirmPage (job: OwnedJob, after: number): Promise<ResultPage | undefined> {
    const { recordFollower } = options
    if (!job.isEnded() && !recordFollower.mayDenyResults(job)) await recordFollower.refresh()
    const isKnown = registry.get(job.id) === job && (job.isEnded() || recordFollower.mayDenyResults(job))
    if (!isKnown) log.info({ job: job.id, after, ageMs: Math.round(clock.now() - job.confirmedAt()) }, 'results not denied: the job may have another owner')
    return isKnown ? toPage(job, after) : undefined
  }

  function toPage (job: OwnedJob, after: number): ResultPage {
    return { total: job.record().total, results: cutPage(job.storedResults(), after) }
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
    registry.update(id, { owner: record.owner, epoch: record.epoch, ended: record.ended }, 'record')
    if (record.owner === self && !record.finished && !record.ended) settle(id)
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
        .readResults({ job, after, waitMs, maxBytes: MAX_PAGE_CHARS }, { timeoutMs: waitMs + PEER_TIMEOUT_MS })
      if (!res.isOwner) return undefined
      return { total: res.total, results: res.results.map(({ item, completed, text }) => ({ item, completed, text })) }
    } catch (cause) {
      options.metrics.countRetry('peerUnavailable')
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
    return ok({ total: cached.record.total, results: cutPage(cached.results, after) })
  }

  /** Reads stored results; segments are immutable, so those read before are cached. */
  async function readSegments (
    id: string,
    { record }: { record: JobRecord },
    after: number
  ): Promise<Result<ResultPage, RefusalError>> {
    const cached = cache.get(id) ?? { record, results: [], segments: 0 }
    cached.record = record
    cache.set(id, cached)
    while (cached.results.length < record.total) {
      const index = cached.segments
      const segment = await store.readSegment(id, index)
      if (segment.isErr()) return err(toReadRefusal(segment.error))
      if (segment.value === undefined) break
      // A concurrent read of the same job may have added the segment already.
      if (cached.segments !== index) continue
      cached.results.push(...segment.value)
      cached.segments += 1
    }
    return ok({ total: record.total, results: cutPage(cached.results, after) })
  }

  /** Reads the items of a job; input is immutable, so it is cached. */
  async function readItems (id: string): Promise<Result<readonly JobItem[], RefusalError>> {
    const cached = inputs.get(id)
    if (cached !== undefined) return ok(cached)
    const items = await store.readItems(id)
    if (items.isErr()) return err(toReadRefusal(items.error))
    if (items.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
    inputs.set(id, items.value)
    return ok(items.value)
  }

  async function findBody (id: string, item: string): Promise<Result<Uint8Array, RefusalError>> {
    const own = registry.get(id)?.findItem(item)
    if (own !== undefined) return ok(Buffer.from(own.body, 'base64'))
    const items = await readItems(id)
    if (items.isErr()) return err(items.error)
    const found = items.value.find((one) => one.id === item)
    if (found === undefined) return err(new RefusalError('notFound', { detail: `no item ${item} in job ${id}` }))
    return ok(Buffer.from(found.body, 'base64'))
  }

  async function end (id: string): Promise<Result<void, RefusalError>> {
    const own = registry.get(id)
    if (own !== undefined) {
      const ended = await manager.endJob(own)
      const isLost = ended.isErr() && ended.error instanceof PlatformConflict
      return isLost ? await endStored(id) : ended.mapErr(toReadRefusal)
    }
    if (registry.getKnown(id)?.ended === true) return ok(undefined)
    const owner = registry.getKnown(id)?.owner
    if (owner !== undefined && await notifyOwner(owner, id)) {
      registry.update(id, { owner, epoch: registry.getKnown(id)!.epoch, ended: true }, 'peer')
      return ok(undefined)
    }
    return await endStored(id)
  }

  async function notifyOwner (owner: string, job: string): Promise<boolean> {
    const peer = options.peers().find(({ report }) => report.instance === owner)
    if (peer === undefined) {
      log.info({ job, owner, outcome: 'notHeard' }, 'owner asked to end a job')
      return false
    }
    try {
      const res = await getClient(peer.report.peerAddress).jobEnded({ job }, { timeoutMs: PEER_TIMEOUT_MS })
      log.info({ job, owner, outcome: res.isOwner ? 'ended' : 'notOwner' }, 'owner asked to end a job')
      return res.isOwner
    } catch (cause) {
      options.metrics.countRetry('peerUnavailable')
      log.info({ job, owner, outcome: 'noAnswer', cause: describeCause(cause) }, 'owner asked to end a job')
      return false
    }
  }

  async function endStored (id: string): Promise<Result<void, RefusalError>> {
    for (;;) {
      const found = await store.read(id)
      if (found.isErr()) return err(toReadRefusal(found.error))
      if (found.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
      const { record, revision } = found.value
      const written = record.ended ? ok(found.value) : await store.update(id, { ...record, ended: true }, revision)
      if (written.isErr()) {
        if (written.error instanceof PlatformConflict) continue
        return err(toReadRefusal(written.error))
      }
      registry.update(id, { owner: record.owner, epoch: record.epoch, ended: true }, 'record')
      notifyOwner(record.owner, id).catch((cause: unknown) => log.error({
        job: id, owner: record.owner, cause: describeCause(cause)
      }, 'owner could not be asked to end a job'))
      log.info({ job: id, owner: record.owner }, 'job ended by its caller')
      return ok(undefined)
    }
  }

  function toReadRefusal (cause: PlatformError): RefusalError {
    const reason = cause instanceof PlatformRejected ? 'badRequest' : 'platformDown'
    return new RefusalError(reason, { retryAfterMs: PLATFORM_RETRY_MS, cause })
  }

  return { submit, read: readPage, body: findBody, end, readOwned }
}

function cutPage (results: readonly ItemResult[], after: number): ItemResult[] {
  const page: ItemResult[] = []
  let chars = 0
  for (const result of results.slice(after)) {
    chars += result.text.length
    if (page.length > 0 && chars > MAX_PAGE_CHARS) break
    page.push(result)
  }
  return page
}
