/** What callers ask of batch jobs: submit one, read its results, read an item's body, end it. */
import { LRUCache } from 'lru-cache'
import { err, ok, type Result } from 'neverthrow'
import { createClient, type Client } from '@connectrpc/connect'
import {
  describeCause, JobService, PlatformConflict, PlatformRejected, PlatformUnavailable, RefusalError,
  type Clock, type Log, type Metrics, type PeerTransports, type PlatformError
} from '../../shared'
import type { PeerView } from '../gossip'
import type { Route } from '../model'
import type { JobBoard } from './jobBoard'
import type { JobKeeper } from './jobKeeper'
import { splitItems, type JobStore } from './jobStore'
import type { OwnedJob } from './ownedJob'
import type { Quota } from './quota'
import type { ItemResult, JobItem, JobRecord } from './records'

export interface JobSubmission {
  id: string
  host: string
  route: Route
  items: readonly JobItem[]
}

export interface ResultPage {
  /** Items of the job. */
  total: number
  results: readonly ItemResult[]
}

export interface JobCalls {
  submit: (job: JobSubmission) => Promise<Result<void, RefusalError>>
  /**
   * Results from a position on.
   *
   * @param job - id of the job
   * @param after - results to leave out
   * @param waitMs - how long to wait for one, in milliseconds
   */
  read: (job: string, after: number, waitMs: number) => Promise<Result<ResultPage, RefusalError>>
  /** Body of an item. */
  body: (job: string, item: string) => Promise<Result<Uint8Array, RefusalError>>
  end: (job: string) => Promise<Result<void, RefusalError>>
  /** Results of a job of this instance; undefined when it has none of that name. */
  readOwned: (job: string, after: number, waitMs: number) => Promise<ResultPage | undefined>
}

export interface JobCallsOptions {
  self: string
  board: JobBoard
  keeper: JobKeeper
  store: JobStore
  transports: PeerTransports
  peers: () => readonly PeerView[]
  quota: Quota
  /** Called after a job was accepted. */
  onAccepted: () => void
  isLeaving: () => boolean
  clock: Clock
  metrics: Metrics
  log: Log
}

/** Most characters of results in one answer. */
const MAX_PAGE_CHARS = 900_000
/** Limit for a call of a peer beyond its wait, in milliseconds. */
const PEER_TIMEOUT_MS = 600
/** When a job that did not fit may be sent again, in milliseconds. */
const QUOTA_RETRY_MS = 2000
const PLATFORM_RETRY_MS = 1000
const CACHED_JOBS = 200
const CACHED_INPUTS = 50

interface Cached {
  record: JobRecord
  results: ItemResult[]
  segments: number
}

/** Creates the calls of an instance. */
export function createJobCalls (options: JobCallsOptions): JobCalls {
  const { self, board, keeper, store, clock, log } = options
  const clients = new Map<string, Client<typeof JobService>>()
  const cache = new LRUCache<string, Cached>({ max: CACHED_JOBS })
  const inputs = new LRUCache<string, readonly JobItem[]>({ max: CACHED_INPUTS })

  function clientOf (address: string): Client<typeof JobService> {
    let client = clients.get(address)
    if (client === undefined) {
      client = createClient(JobService, options.transports.to(address))
      clients.set(address, client)
    }
    return client
  }

  async function submit (job: JobSubmission): Promise<Result<void, RefusalError>> {
    const { id, route, items } = job
    if (board.get(id) !== undefined || board.known(id) !== undefined) return ok(undefined)
    if (options.isLeaving()) return err(new RefusalError('addressMoved', { retryAfterMs: 0 }))
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0)
    const limit = route.batch?.maxWaitingTokens ?? 0
    const room = await options.quota.reserve(route.name, tokens, limit)
    if (room.isErr()) return err(unstored(id, room.error))
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
    if (created.isErr()) return err(unstored(id, created.error))
    const confirmed = created.value.created ? await room.value.confirm(id, created.value.revision) : ok(true)
    if (confirmed.isErr()) return err(unstored(id, confirmed.error))
    if (!confirmed.value) return await refuseOverQuota(id, tokens, limit)
    const { record: kept } = created.value
    if (created.value.created || kept.owner === self) {
      if (board.get(id) === undefined && !kept.ended && !kept.finished) keeper.open(id, created.value, items)
      options.onAccepted()
    } else {
      board.learn(id, { owner: kept.owner, epoch: kept.epoch, ended: kept.ended })
    }
    log.info({ job: id, route: route.name, items: items.length, tokens, owner: kept.owner, created: created.value.created }, 'job accepted')
    return ok(undefined)
  }

  /** A job that was accepted before is accepted again, however many tokens wait now. */
  async function refuseOverQuota (id: string, tokens: number, limit: number): Promise<Result<void, RefusalError>> {
    const known = await store.read(id)
    if (known.isErr()) return err(unreadable(known.error))
    if (known.value !== undefined) return ok(undefined)
    log.info({ job: id, tokens, limit }, 'job refused: too many tokens wait')
    return err(new RefusalError('accountLimit', { retryAfterMs: QUOTA_RETRY_MS }))
  }

  function unstored (id: string, cause: PlatformError): RefusalError {
    const mayExist = cause instanceof PlatformUnavailable && cause.maybeApplied
    log.warn({ job: id, mayExist, cause: cause.message }, 'job could not be stored')
    if (mayExist) settle(id)
    const retryAfterMs = PLATFORM_RETRY_MS
    return new RefusalError('platformDown', { outcome: mayExist ? 'unknown' : 'not_run', retryAfterMs, cause })
  }

  /** Works on a job that may be stored under this instance, which does not know it. */
  function settle (id: string): void {
    keeper.settle(id).catch((cause: unknown) => log.error({ job: id, cause: describeCause(cause) }, 'job not settled'))
  }

  async function readOwned (id: string, after: number, waitMs: number): Promise<ResultPage | undefined> {
    const until = clock.now() + waitMs
    for (;;) {
      const job = board.get(id)
      if (job === undefined) return undefined
      const leftMs = until - clock.now()
      if (job.stored().length > after || leftMs <= 0 || job.isComplete() || job.isEnded()) return pageOf(job, after)
      await job.changed(leftMs)
    }
  }

  function pageOf (job: OwnedJob, after: number): ResultPage {
    return { total: job.record().total, results: cutPage(job.stored(), after) }
  }

  async function read (id: string, after: number, waitMs: number): Promise<Result<ResultPage, RefusalError>> {
    const owned = await readOwned(id, after, waitMs)
    if (owned !== undefined) return ok(owned)
    const asked = new Set<string>()
    const known = board.known(id)
    if (known !== undefined) {
      asked.add(known.owner)
      const page = await askOwner(known.owner, id, after, waitMs)
      if (page !== undefined) return ok(page)
    }
    const stored = await readStored(id)
    if (stored.isErr()) return err(stored.error)
    const { record } = stored.value
    board.learn(id, { owner: record.owner, epoch: record.epoch, ended: record.ended })
    if (record.owner === self && !record.finished && !record.ended) settle(id)
    if (!asked.has(record.owner) && record.owner !== self) {
      const page = await askOwner(record.owner, id, after, waitMs)
      if (page !== undefined) return ok(page)
    }
    return await readSegments(id, stored.value, after)
  }

  async function askOwner (owner: string, job: string, after: number, waitMs: number): Promise<ResultPage | undefined> {
    const peer = options.peers().find(({ report }) => report.instance === owner)
    if (peer === undefined) return undefined
    try {
      const res = await clientOf(peer.report.peerAddress)
        .readResults({ job, after, waitMs, maxBytes: MAX_PAGE_CHARS }, { timeoutMs: waitMs + PEER_TIMEOUT_MS })
      if (!res.isOwner) return undefined
      return { total: res.total, results: res.results.map(({ item, completed, text }) => ({ item, completed, text })) }
    } catch (cause) {
      options.metrics.retried('peerUnavailable')
      log.info({ job, owner, cause: String(cause) }, 'owner of a job did not answer')
      return undefined
    }
  }

  async function readStored (id: string): Promise<Result<{ record: JobRecord }, RefusalError>> {
    const cached = cache.get(id)
    if (cached?.record.finished === true) return ok(cached)
    const found = await store.read(id)
    if (found.isErr()) return err(unreadable(found.error))
    if (found.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
    return ok(found.value)
  }

  /** Reads what is stored; segments never change, so those read before are kept. */
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
      if (segment.isErr()) return err(unreadable(segment.error))
      if (segment.value === undefined) break
      // Another read of the same job may have come first.
      if (cached.segments !== index) continue
      cached.results.push(...segment.value)
      cached.segments += 1
    }
    return ok({ total: record.total, results: cutPage(cached.results, after) })
  }

  /** Input never changes, so what was read once is kept. */
  async function readItems (id: string): Promise<Result<readonly JobItem[], RefusalError>> {
    const cached = inputs.get(id)
    if (cached !== undefined) return ok(cached)
    const items = await store.readItems(id)
    if (items.isErr()) return err(unreadable(items.error))
    if (items.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
    inputs.set(id, items.value)
    return ok(items.value)
  }

  async function body (id: string, item: string): Promise<Result<Uint8Array, RefusalError>> {
    const own = board.get(id)?.item(item)
    if (own !== undefined) return ok(Buffer.from(own.body, 'base64'))
    const items = await readItems(id)
    if (items.isErr()) return err(items.error)
    const found = items.value.find((one) => one.id === item)
    if (found === undefined) return err(new RefusalError('notFound', { detail: `no item ${item} in job ${id}` }))
    return ok(Buffer.from(found.body, 'base64'))
  }

  async function end (id: string): Promise<Result<void, RefusalError>> {
    const own = board.get(id)
    if (own !== undefined) return (await keeper.end(own)).mapErr(unreadable)
    if (board.known(id)?.ended === true) return ok(undefined)
    const owner = board.known(id)?.owner
    if (owner !== undefined && await tellOwner(owner, id)) {
      board.learn(id, { owner, epoch: board.known(id)!.epoch, ended: true })
      return ok(undefined)
    }
    return await endStored(id)
  }

  async function tellOwner (owner: string, job: string): Promise<boolean> {
    const peer = options.peers().find(({ report }) => report.instance === owner)
    if (peer === undefined) return false
    try {
      const res = await clientOf(peer.report.peerAddress).jobEnded({ job }, { timeoutMs: PEER_TIMEOUT_MS })
      return res.isOwner
    } catch {
      options.metrics.retried('peerUnavailable')
      return false
    }
  }

  async function endStored (id: string): Promise<Result<void, RefusalError>> {
    for (;;) {
      const found = await store.read(id)
      if (found.isErr()) return err(unreadable(found.error))
      if (found.value === undefined) return err(new RefusalError('notFound', { detail: `no job ${id} exists` }))
      const { record, revision } = found.value
      const written = record.ended ? ok(found.value) : await store.update(id, { ...record, ended: true }, revision)
      if (written.isErr()) {
        if (written.error instanceof PlatformConflict) continue
        return err(unreadable(written.error))
      }
      board.learn(id, { owner: record.owner, epoch: record.epoch, ended: true })
      tellOwner(record.owner, id).catch(() => undefined)
      log.info({ job: id, owner: record.owner }, 'job ended by its caller')
      return ok(undefined)
    }
  }

  function unreadable (cause: PlatformError): RefusalError {
    const reason = cause instanceof PlatformRejected ? 'badRequest' : 'platformDown'
    return new RefusalError(reason, { retryAfterMs: PLATFORM_RETRY_MS, cause })
  }

  return { submit, read, body, end, readOwned }
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
