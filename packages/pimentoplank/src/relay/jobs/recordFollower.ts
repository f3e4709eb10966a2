/** Follows the stored records of the jobs that this instance owns, so that the age of what it knows is bounded. */
import type { Clock, Log, Metrics } from '../../shared'
import { computeRefreshAgeMs, mayAwaitAnswers, mayDenyResults, mayStartItems, type RecordAgeRules } from '../decisions'
import { toKnownJob, type JobRegistry } from './jobRegistry'
import type { JobStore, RecordChanges, StoredJob } from './jobStore'
import type { OwnedJob } from './ownedJob'

export interface RecordFollowerOptions {
  self: string
  jobRegistry: JobRegistry
  store: Pick<JobStore, 'readChanges'>
  rules: RecordAgeRules
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface RecordFollower {
  /** True while the record of an owned job is known to be recent enough to start its items. */
  mayStart: (job: OwnedJob) => boolean
  /** True while items of an owned job may go on that their targets haven't begun to answer. */
  mayAwaitAnswers: (job: OwnedJob) => boolean
  /** True while this instance may say that an owned job has no further results. */
  mayDenyResults: (job: OwnedJob) => boolean
  /** Reads the changes of all records; resolves to false if the platform did not answer. */
  refresh: () => Promise<boolean>
  /** Reads the changes when they are due; called periodically. */
  tick: () => void
}

/** Pause after a first read without an answer, in milliseconds. */
const RETRY_MS = 200
/** Longest pause after several of them in a row, in milliseconds. */
const MAX_RETRY_MS = 800
/** Difference between wall clock and monotonic clock that shows that the machine was suspended, in milliseconds. */
const SUSPENDED_MS = 500

/** Creates the follower of an instance. It makes no calls while the instance owns no job with open items. */
export function createRecordFollower (options: RecordFollowerOptions): RecordFollower {
  const { self, jobRegistry: registry, store, rules, clock, metrics, log } = options
  /** Store revisions between which all changes were read; undefined while no job is followed. */
  let covered: { from: number, to: number } | undefined
  let answerMs = 0
  let failures = 0
  let retryAt = -Infinity
  let reading: Promise<boolean> | undefined
  /** Earlier knowledge doesn't count. */
  let trustedFrom = -Infinity
  let clockOffset = getClockOffset()
  let isHeld = false

  function getClockOffset (): number {
    return clock.wallTime() - clock.now()
  }

  /** The monotonic clock stops while the machine is suspended; the wall clock doesn't. */
  function checkClock (): void {
    const offset = getClockOffset()
    if (Math.abs(offset - clockOffset) < SUSPENDED_MS) return
    log.warn({ jumpMs: Math.round(offset - clockOffset) }, 'clocks differ: stored records are read again')
    clockOffset = offset
    trustedFrom = clock.now()
  }

  function listFollowed (): OwnedJob[] {
    return [...registry.owned()].filter((job) => !job.isComplete() && !job.isEnded())
  }

  function getConfirmedAt (job: OwnedJob): number {
    checkClock()
    return job.confirmedAt() > trustedFrom ? job.confirmedAt() : -Infinity
  }

  async function read (): Promise<boolean> {
    const followed = listFollowed()
    if (followed.length === 0) return true
    const sentAt = clock.now()
    const since = getFirstUnread(followed)
    const changes = await store.readChanges(since, rules.maxAgeMs)
    answerMs = clock.now() - sentAt
    if (changes.isErr()) {
      failures += 1
      retryAt = clock.now() + Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** (failures - 1))
      metrics.countRetry('platformUnavailable')
      if (failures === 1) log.warn({ since, cause: changes.error.message }, 'stored records of jobs could not be read')
      return false
    }
    if (failures > 0) log.info({ since, failures }, 'stored records of jobs are read again')
    failures = 0
    apply(since, changes.value)
    return true
  }

  /** A job may be opened with a record that is older than the changes read so far. */
  function getFirstUnread (followed: readonly OwnedJob[]): number {
    const unread = followed.map((job) => job.revision()).filter((revision) => revision < (covered?.from ?? Infinity))
    return unread.length > 0 ? Math.min(...unread) : covered!.to
  }

  function apply (since: number, { revision, asOf, isComplete, records }: RecordChanges): void {
    for (const [id, stored] of records) applyRecord(id, stored)
    covered = { from: isComplete ? 0 : Math.min(since, covered?.from ?? since), to: revision }
    for (const job of listFollowed()) {
      if (isComplete && job.revision() <= revision && !records.has(job.id)) applyRecord(job.id, undefined)
      // Changes of a job that was opened meanwhile with an older record may be missing.
      if (job.revision() >= covered.from) job.confirm(asOf)
    }
  }

  function applyRecord (id: string, stored: StoredJob | undefined): void {
    const owned = registry.get(id)
    if (stored === undefined) {
      if (owned !== undefined) {
        log.warn({ job: id }, 'record of an owned job was deleted')
        registry.update(id, { ...toKnownJob(owned.record()), owner: self, ended: true }, 'followed')
      }
      registry.forget(id)
      return
    }
    const { record, revision } = stored
    registry.update(id, toKnownJob(record), 'followed')
    if (owned !== undefined && record.owner === self && revision > owned.revision()) owned.setStored(stored)
  }

  async function refresh (): Promise<boolean> {
    if (reading === undefined && clock.now() < retryAt) return false
    reading ??= read().finally(() => { reading = undefined })
    return await reading
  }

  /** Logs when items begin or cease to wait for their records. */
  function logHeld (followed: readonly OwnedJob[]): void {
    const held = followed.filter((job) => !mayStartItems(getConfirmedAt(job), clock.now(), rules))
    if (isHeld === (held.length > 0)) return
    isHeld = !isHeld
    if (isHeld) log.warn({ jobs: held.map(({ id }) => id), failures }, 'items wait: stored records are out of date')
    else log.info({ jobs: followed.length }, 'items go on: stored records are known')
  }

  return {
    mayStart: (job) => registry.get(job.id) === job && !job.isEnded() &&
      mayStartItems(getConfirmedAt(job), clock.now(), rules),
    mayAwaitAnswers: (job) => mayAwaitAnswers(getConfirmedAt(job), clock.now(), rules),
    mayDenyResults: (job) => mayDenyResults(getConfirmedAt(job), clock.now(), rules),
    refresh,
    tick: () => {
      const followed = listFollowed()
      if (followed.length === 0) covered = undefined
      logHeld(followed)
      const now = clock.now()
      const oldest = Math.min(...followed.map(getConfirmedAt))
      if (reading !== undefined || now < retryAt || now - oldest < computeRefreshAgeMs(answerMs, rules)) return
      refresh().catch((cause: unknown) => log.error({ cause: String(cause) }, 'reading stored records failed'))
    }
  }
}
