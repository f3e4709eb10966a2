/** Caller-facing operations on batch jobs: submit, read results, read an item's body, end. */
import { err, ok, type Result } from 'neverthrow'
import {
  describeCause, PlatformConflict, PlatformUnavailable, RefusalError,
  type Clock, type Log, type Metrics, type PeerTransports, type PlatformError, type Random
} from '../../shared'
import { computeOutageRetryMs } from '../decisions'
import { FIRST_EPOCH, type PeerView } from '../gossip'
import type { Route } from '../model'
import type { JobInputs } from './jobInputs'
import { toKnownJob, type JobRegistry } from './jobRegistry'
import type { JobManager } from './jobManager'
import { splitItems, type CreatedJob, type JobStore } from './jobStore'
import { countEncodedBytes, getMaxContentBytes } from './objectSize'
import type { RecordFollower } from './recordFollower'
import { createJobAcceptance } from './jobAcceptance'
import type { Quota, QuotaJob } from './quota'
import { createJobClients, PEER_TIMEOUT_MS } from './peerJobs'
import type { JobItem, JobRecord } from './records'
import { createResultReader, PLATFORM_RETRY_MS, toReadRefusal, type ResultPage } from './resultReader'

export interface JobSubmission {
  id: string
  host: string
  route: Route
  items: readonly JobItem[]
  /** Time until the caller's deadline, in milliseconds; undefined when none was given. */
  remainingMs?: number
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
  /** Reads the request body of an item, in base64. */
  body: (job: string, item: string) => Promise<Result<string, RefusalError>>
  end: (job: string) => Promise<Result<void, RefusalError>>
  /** Reads results of an owned job; undefined when this instance does not own it. */
  readOwned: (job: string, after: number, waitMs: number) => Promise<ResultPage | undefined>
}

export interface JobApiOptions {
  self: string
  jobRegistry: JobRegistry
  jobManager: JobManager
  store: JobStore
  inputs: JobInputs
  transports: PeerTransports
  peers: () => readonly PeerView[]
  quota: Quota
  recordFollower: Pick<RecordFollower, 'mayDenyResults' | 'refresh'>
  /** Called after a job is accepted. */
  onAccepted: () => void
  /** Maximum size of an object at the platform, in bytes. */
  maxObjectBytes: number
  /** Maximum number of reads that wait for a result. */
  maxWaitingReads?: number
  isLeaving: () => boolean
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

/** Retry-after of a job refused for its quota, in milliseconds. */
const QUOTA_RETRY_MS = 2000
/** Retry-after of a job that is stored, but of which it isn't known whether it stays, in milliseconds. */
const UNDECIDED_RETRY_MS = 1000
/** Time for which the answer to a job that was stored and doesn't stay waits until it is gone, in milliseconds. */
const WITHDRAW_WAIT_MS = 1000

/** Creates the job operations of an instance. */
export function createJobApi (options: JobApiOptions): JobApi {
  const { self, jobRegistry: registry, jobManager: manager, store, clock, log } = options
  const getClient = createJobClients(options.transports)
  const accept = createJobAcceptance(options)
  const reader = createResultReader({
    ...options, getClient, hasResultsInDoubt: manager.hasResultsInDoubt, onUnknown: settle
  })

  async function submit (job: JobSubmission): Promise<Result<void, RefusalError>> {
    const { id, route, items } = job
    // Nothing of a job that its caller has ended runs any more.
    const isEnded = registry.getKnown(id)?.ended === true
    if (registry.get(id) !== undefined || registry.isAccepted(id) || isEnded) {
      log.info({ job: id, ...registry.getKnown(id) }, 'job submitted again: it was accepted or ended before')
      return ok(undefined)
    }
    if (options.isLeaving()) return err(new RefusalError('addressMoved', { retryAfterMs: 0 }))
    const tooLarge = checkSize(job)
    if (tooLarge !== undefined) return err(tooLarge)
    const unavailable = await checkStore(job)
    if (unavailable !== undefined) return err(unavailable)
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0)
    const counted = { id, route: route.name, tokens, limit: route.batch?.maxWaitingTokens ?? 0 }
    const room = await options.quota.reserve(counted)
    if (room.isErr()) return err(toReadRefusal(room.error))
    const release = manager.hold(id)
    try {
      return room.value ? await storeAndAccept(job, counted) : await refuseOverQuota(job, counted)
    } finally {
      options.quota.release(counted)
      release()
    }
  }

  /** Refuses a job of which a part can't be stored, however often it is tried. */
  function checkSize ({ id, items }: JobSubmission): RefusalError | undefined {
    const bytes = Math.max(...splitItems(items).map(countEncodedBytes))
    const maxBytes = getMaxContentBytes(options.maxObjectBytes)
    if (bytes <= maxBytes) return undefined
    log.info({ job: id, bytes, maxBytes }, 'job refused: an item is too large to be stored')
    return new RefusalError('bodyTooLarge', { detail: `an item is larger than ${maxBytes} bytes in its stored form` })
  }

  async function storeAndAccept (job: JobSubmission, counted: QuotaJob): Promise<Result<void, RefusalError>> {
    const { id, route, items } = job
    const { tokens, limit } = counted
    const record: JobRecord = {
      route: route.name,
      host: job.host,
      owner: self,
      epoch: FIRST_EPOCH,
      submittedAt: clock.wallTime(),
      total: items.length,
      inputParts: splitItems(items).length,
      tokens,
      ended: false,
      finished: false
    }
    const created = await store.create(id, record, items)
    if (created.isErr()) {
      if (limit === 0) return err(toStoreRefusal(id, created.error))
      const isInDoubt = mayBeApplied(created.error)
      const isGone = await withdraw(id, record, { isInDoubt })
      return err(toRefusal(id, created.error, isInDoubt || !isGone))
    }
    return await acceptStored(job, counted, record, created.value)
  }

  /**
   * Accepts a job whose record and input are stored, or withdraws it if this submission has stored it.
   *
   * @param written - the record as this submission has written it, unless there was one
   */
  async function acceptStored (
    job: JobSubmission,
    counted: QuotaJob,
    written: JobRecord,
    created: CreatedJob
  ): Promise<Result<void, RefusalError>> {
    const { id, route, items } = job
    const { tokens, limit } = counted
    const accepted = await accept(counted, created)
    if (accepted.isErr()) {
      const isGone = await withdrawUnaccepted(id, written, created)
      return err(toRefusal(id, accepted.error, mayBeApplied(accepted.error) || !isGone))
    }
    if (accepted.value === undefined && created.created) {
      const isGone = await withdrawUnaccepted(id, written, created)
      log.info({ job: id, tokens, limit, isGone }, 'job withdrawn: waiting tokens exceed the limit')
      // If this instance were lost now, a successor would run a job whose record is still there.
      if (!isGone) return err(new RefusalError('platformDown', { outcome: 'unknown' }))
      return err(new RefusalError('accountLimit', { retryAfterMs: QUOTA_RETRY_MS }))
    }
    if (accepted.value === undefined) {
      const isGone = await withdrawUnaccepted(id, written, created)
      log.info({ job: id, tokens, limit, owner: created.record.owner, isGone }, 'job refused: stored elsewhere, not known to be accepted')
      if (!isGone) return err(new RefusalError('platformDown', { outcome: 'unknown' }))
      return err(new RefusalError('queueFull', { retryAfterMs: UNDECIDED_RETRY_MS }))
    }
    const { record: kept } = accepted.value
    if (kept.owner === self && created.created) {
      if (!kept.ended && !kept.finished) manager.openJob(id, accepted.value, items)
      options.onAccepted()
    } else if (kept.owner === self) {
      // This instance may have stored results of it before a restart, which a takeover reads.
      if (registry.get(id) === undefined && !kept.ended && !kept.finished) settle(id)
    } else {
      registry.update(id, { ...toKnownJob(kept), isAccepted: true }, 'record')
    }
    log.info({
      job: id, route: route.name, items: items.length, tokens, owner: kept.owner, created: created.created
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

  /** Refuses a job over quota, unless it is stored: what was accepted before is accepted whatever the quota. */
  async function refuseOverQuota (job: JobSubmission, counted: QuotaJob): Promise<Result<void, RefusalError>> {
    const { id, tokens, limit } = counted
    const known = await store.read(id)
    if (known.isErr()) return err(toReadRefusal(known.error))
    if (known.value !== undefined) return await storeAndAccept(job, counted)
    log.info({ job: id, tokens, limit }, 'job refused: waiting tokens exceed the limit')
    return err(new RefusalError('accountLimit', { retryAfterMs: QUOTA_RETRY_MS }))
  }

  function toStoreRefusal (id: string, cause: PlatformError): RefusalError {
    if (mayBeApplied(cause)) settle(id)
    return toRefusal(id, cause, mayBeApplied(cause))
  }

  function toRefusal (id: string, cause: PlatformError, mayExist: boolean): RefusalError {
    log.warn({ job: id, mayExist, cause: cause.message }, 'job could not be stored')
    const retryAfterMs = PLATFORM_RETRY_MS
    return new RefusalError('platformDown', { outcome: mayExist ? 'unknown' : 'not_run', retryAfterMs, cause })
  }

  /** Withdraws what a submission that isn't accepted has stored, or may store later; returns true if that is gone. */
  async function withdrawUnaccepted (
    id: string, written: JobRecord, { created, revision, isInDoubt }: CreatedJob
  ): Promise<boolean> {
    if (!created && !isInDoubt) return true
    return await withdraw(id, written, { revision: created ? revision : undefined, isInDoubt })
  }

  /**
   * Withdraws a job that this instance has stored, but did not accept; goes on in the background after a time.
   *
   * @returns true if the job is certainly gone
   */
  async function withdraw (
    id: string, record: JobRecord, { revision, isInDoubt = false }: { revision?: number, isInDoubt?: boolean }
  ): Promise<boolean> {
    const withdrawn = manager.withdraw(id, record, { revision, isInDoubt }).catch((failure: unknown) => {
      log.error({ job: id, cause: describeCause(failure) }, 'job that was not accepted could not be withdrawn')
      return false
    })
    if (isInDoubt) return false
    const waited = new AbortController()
    const late = clock.sleep(WITHDRAW_WAIT_MS, waited.signal).then(() => false)
    return await Promise.race([withdrawn, late]).finally(() => waited.abort())
  }

  /** Checks in the background whether a job is stored under this instance without being known here. */
  function settle (id: string): void {
    manager.resolveSubmission(id).catch((cause: unknown) => log.error({
      job: id, cause: describeCause(cause)
    }, 'check whether the job was stored failed'))
  }

  /** Whoever asks for an end may leave before it is acknowledged, and the job must not run on for that. */
  async function end (id: string): Promise<Result<void, RefusalError>> {
    const ended = await tryEnd(id)
    if (ended.isErr()) {
      log.info({ job: id, reason: ended.error.reason }, 'end of a job is repeated: it is not stored')
      manager.resolveEnd(id, async () => await tryEnd(id)).catch((cause: unknown) => log.error({
        job: id, cause: describeCause(cause)
      }, 'end of a job could not be repeated'))
    }
    return ended
  }

  async function tryEnd (id: string): Promise<Result<void, RefusalError>> {
    const own = registry.get(id)
    if (own !== undefined) {
      const ended = await manager.endJob(own)
      const isLost = ended.isErr() && ended.error instanceof PlatformConflict
      return isLost ? await endStored(id) : ended.mapErr(toReadRefusal)
    }
    if (registry.getKnown(id)?.ended === true) return ok(undefined)
    const owner = registry.getKnown(id)?.owner
    if (owner !== undefined && await notifyOwner(owner, id)) {
      registry.update(id, { owner, epoch: registry.getKnown(id)!.epoch, ended: true, isAccepted: true }, 'peer')
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
      registry.update(id, { ...toKnownJob(record), ended: true }, 'record')
      notifyOwner(record.owner, id).catch((cause: unknown) => log.error({
        job: id, owner: record.owner, cause: describeCause(cause)
      }, 'owner could not be asked to end a job'))
      log.info({ job: id, owner: record.owner }, 'job ended by its caller')
      return ok(undefined)
    }
  }

  function mayBeApplied (cause: PlatformError): boolean {
    return cause instanceof PlatformUnavailable && cause.maybeApplied
  }

  return { submit, read: reader.read, body: reader.body, end, readOwned: reader.readOwned }
}
