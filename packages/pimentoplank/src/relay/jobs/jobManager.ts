/** Manages the life cycle of owned jobs: stores results, ends and expires jobs, takes over jobs of failed instances. */
import { err, ok, type Result } from 'neverthrow'
import {
  describeCause, PlatformConflict, PlatformUnavailable,
  type Clock, type Log, type Metrics, type PlatformError, type Random, type RefusalError
} from '../../shared'
import type { PeerView } from '../gossip'
import type { RouteTable } from '../routing'
import { createJobMemory, type JobMemoryOptions } from './jobMemory'
import { toKnownJob, type JobRegistry } from './jobRegistry'
import type { JobStore, StoredJob } from './jobStore'
import { createJobTimes } from './jobTimes'
import { createOwnedJob, type ItemProgress, type OwnedJob } from './ownedJob'
import type { ItemResult, JobItem, JobRecord } from './records'
import { createResultStorage, type ResultStorageRules } from './resultStorage'
import { createSuccession } from './succession'
import { createUnroutedItems } from './unroutedItems'

export interface JobManagerRules extends ResultStorageRules {
  /** Upper bound of the backoff while the platform does not answer, in milliseconds. */
  maxBackoffMs: number
  /** How long a finished job stays in memory, in milliseconds. */
  keepMs: number
  /** Time after the start, in milliseconds, after which owners that have not reported by gossip count as failed. */
  settleMs: number
}

export interface JobManagerOptions extends Pick<JobMemoryOptions, 'maxBodyChars' | 'maxResultChars'> {
  self: string
  jobRegistry: JobRegistry
  store: JobStore
  table: () => RouteTable | undefined
  peers: () => readonly PeerView[]
  /** True while this instance is draining and accepts no new work. */
  isLeaving: () => boolean
  /** Called when a job was taken over and its items may start. */
  onItemsReady: () => void
  /** Called when the runs of a job must stop on this instance. */
  onStop: (job: OwnedJob) => void
  rules: JobManagerRules
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface JobManager {
  /** Registers a job that this instance has accepted. */
  openJob: (id: string, stored: StoredJob, items: readonly JobItem[]) => OwnedJob
  /** Schedules the pending results of a job to be stored. */
  scheduleStore: (job: OwnedJob) => void
  /** True while results of a job may be stored of which this instance doesn't know it yet. */
  hasResultsInDoubt: (job: OwnedJob) => boolean
  /** Marks an owned job as ended by its caller. */
  endJob: (job: OwnedJob) => Promise<Result<void, PlatformError>>
  /** Keeps a job from being taken over here while it is being submitted; returns the function that ends it. */
  hold: (job: string) => () => void
  /** Takes over a job from another instance, with that instance's progress and results if given. */
  takeOver: (
    job: string,
    progress?: ReadonlyMap<string, Partial<ItemProgress>>,
    results?: readonly ItemResult[]
  ) => Promise<boolean>
  /** Determines whether a job whose store request got no answer was stored after all; if so, takes it over. */
  resolveSubmission: (job: string) => Promise<void>
  /**
   * Deletes the record of a job that this instance has stored, but did not accept, unless another one has accepted it
   * meanwhile; the job is taken over then.
   *
   * @param record - the record as this instance has written it
   * @param options.revision - its revision, where that is known
   * @param options.isInDoubt - true if a write of it got no answer, so that it may be stored later; the record is
   * looked for then for as long as that may take
   * @returns true once the job is certainly gone; false if it is accepted or another's, or this instance stops
   */
  withdraw: (job: string, record: JobRecord, options: { revision?: number, isInDoubt: boolean }) => Promise<boolean>
  /**
   * Repeats an end that was not acknowledged until it is stored, or its job can't be stored any more by a late write.
   *
   * @param end - one attempt
   */
  resolveEnd: (job: string, end: () => Promise<Result<void, RefusalError>>) => Promise<void>
  /** Takes over the jobs of a failed instance if this one is its successor. */
  takeOverFrom: (owner: string) => Promise<void>
  /** Takes over the jobs that this instance owned before a restart, and those of instances that failed. */
  recover: () => Promise<void>
  /** Waits until all pending results are stored, or `ms` milliseconds have passed. */
  flushAll: (ms: number) => Promise<void>
  /** Expires overdue items and evicts finished jobs; called periodically. */
  tick: () => void
  close: () => void
}

const FIRST_BACKOFF_MS = 50
/** Time within which a write whose answer was lost may still take effect, in milliseconds. */
const LATE_WRITE_MS = 8000
/** Maximum number of jobs whose ends are repeated at the same time. */
const MAX_ENDING_JOBS = 1000
/** Delay before the record of a finished job is updated, in milliseconds. */
const FINISH_UPDATE_DELAY_MS = 1000

/** Creates the job manager of an instance. */
export function createJobManager (options: JobManagerOptions): JobManager {
  const { self, jobRegistry: registry, store, rules, clock, random, metrics, log } = options
  const closing = new AbortController()
  const finishedAt = new Map<string, number>()
  const adopting = new Set<string>()
  /** Jobs of which it isn't decided whether they are accepted, with the number of calls that decide. */
  const held = new Map<string, number>()
  /** Jobs whose ends are being repeated. */
  const ending = new Set<string>()
  const { isAlive, isSuccessorOf } = createSuccession(options)
  const unroutedItems = createUnroutedItems(options)
  const memory = createJobMemory(options)

  const storage = createResultStorage({
    ...options, computeBackoff, onStored: (job) => { if (job.isComplete()) markComplete(job) }, signal: closing.signal
  })

  registry.onRevoked((job, state) => {
    log.info({
      job: job.id, owner: state.owner, epoch: state.epoch, ended: state.ended
    }, 'job released: it has another owner or was ended')
    if (state.ended) job.markEnded()
    options.onStop(job)
    if (state.owner !== self) registry.remove(job.id)
  })

  function open (id: string, stored: StoredJob, items: readonly JobItem[], segments: ItemResult[][] = []): OwnedJob {
    const job = createOwnedJob({
      id,
      stored,
      items,
      segments,
      getTimes: createJobTimes({ record: stored.record, table: options.table, clock }),
      now: () => clock.now()
    })
    registry.add(job)
    if (job.isComplete()) markComplete(job)
    memory.dropExcessBodies()
    return job
  }

  function computeBackoff (failures: number): number {
    return Math.min(rules.maxBackoffMs, FIRST_BACKOFF_MS * 2 ** failures) * (0.5 + random() / 2)
  }

  function markComplete (job: OwnedJob): void {
    if (finishedAt.has(job.id)) return
    finishedAt.set(job.id, clock.now())
    if (job.record().finished || job.isEnded()) return
    recordFinished(job).catch((cause: unknown) => log.error({
      job: job.id, cause: describeCause(cause)
    }, 'record of a finished job could not be updated'))
  }

  /** Notes in the record that a job is finished, until which its tokens count for those that don't hear this one. */
  async function recordFinished (job: OwnedJob): Promise<void> {
    await clock.sleep(FINISH_UPDATE_DELAY_MS, closing.signal)
    for (let failures = 1; !closing.signal.aborted && registry.get(job.id) === job && !job.isEnded(); failures++) {
      const written = await changeRecord(job, (record) => ({ ...record, finished: true }))
      if (written.isOk() || !(written.error instanceof PlatformUnavailable)) return
      log.warn({
        job: job.id, failures, cause: describeCause(written.error)
      }, 'record of a finished job could not be updated')
      await clock.sleep(computeBackoff(failures), closing.signal)
    }
  }

  /** Updates the record of an owned job; retries on conflicts and fails once another instance owns it. */
  async function changeRecord (
    job: OwnedJob,
    change: (record: JobRecord) => JobRecord
  ): Promise<Result<void, PlatformError>> {
    for (;;) {
      const written = await store.update(job.id, change(job.record()), job.revision())
      if (written.isOk()) {
        job.setStored(written.value)
        return ok(undefined)
      }
      if (!(written.error instanceof PlatformConflict)) return err(written.error)
      const current = await store.read(job.id)
      if (current.isErr()) return err(current.error)
      if (current.value === undefined) return err(written.error)
      const { record } = current.value
      registry.update(job.id, toKnownJob(record), 'record')
      job.setStored(current.value)
      if (record.owner !== self) return err(written.error)
    }
  }

  async function end (job: OwnedJob): Promise<Result<void, PlatformError>> {
    options.onStop(job)
    const written = job.isEnded() ? ok(undefined) : await changeRecord(job, (record) => ({ ...record, ended: true }))
    if (written.isErr()) return written
    registry.update(job.id, { owner: self, epoch: job.record().epoch, ended: true, isAccepted: true }, 'record')
    log.info({ job: job.id }, 'job ended by its caller')
    return ok(undefined)
  }

  function hold (id: string): () => void {
    held.set(id, (held.get(id) ?? 0) + 1)
    return () => {
      const left = held.get(id)! - 1
      if (left > 0) held.set(id, left)
      else held.delete(id)
    }
  }

  async function takeOver (
    id: string,
    progress?: ReadonlyMap<string, Partial<ItemProgress>>,
    results?: readonly ItemResult[]
  ): Promise<boolean> {
    if (registry.get(id) === undefined && held.has(id)) return false
    return await takeOverHeld(id, progress, results)
  }

  async function takeOverHeld (
    id: string,
    progress?: ReadonlyMap<string, Partial<ItemProgress>>,
    results: readonly ItemResult[] = []
  ): Promise<boolean> {
    if (registry.get(id) !== undefined) return true
    if (adopting.has(id) || options.isLeaving()) return false
    adopting.add(id)
    try {
      const taken = await adopt(id)
      if (taken.isErr()) {
        log.warn({ job: id, cause: describeCause(taken.error) }, 'job could not be taken over')
        return false
      }
      const job = taken.value
      if (job === undefined) return true
      for (const result of results) job.finishItem(result)
      for (const [item, known] of progress ?? []) {
        const own = job.openItems().get(item)
        // Items may run here already if the caller's repeat was accepted meanwhile.
        if (own !== undefined && own.target === undefined && own.lastEventId === undefined) Object.assign(own, known)
      }
      storage.schedule(job)
      options.onItemsReady()
      return true
    } finally {
      adopting.delete(id)
    }
  }

  /** Makes this instance the owner; the result is undefined when there is nothing left to run. */
  async function adopt (id: string): Promise<Result<OwnedJob | undefined, PlatformError>> {
    const found = await store.read(id)
    if (found.isErr()) return err(found.error)
    if (found.value === undefined) return ok(undefined)
    const { record, revision } = found.value
    if (record.finished || record.ended) {
      registry.update(id, toKnownJob(record), 'record')
      return ok(undefined)
    }
    const items = await store.readItems(id)
    if (items.isErr()) return err(items.error)
    // A job with incomplete input was never acknowledged; its caller submits it again.
    if (items.value === undefined) return ok(undefined)
    const taken = await store.update(id, { ...record, owner: self, epoch: record.epoch + 1 }, revision)
    if (taken.isErr()) return err(taken.error)
    const segments = await storage.takeSegments(id, taken.value.record.epoch)
    if (segments.isErr()) return err(segments.error)
    const accepted = registry.get(id)
    if (accepted !== undefined) {
      // The caller's repeat was accepted meanwhile, and items of the job may run already.
      accepted.setStored(taken.value)
      for (const segment of segments.value.slice(accepted.segmentCount())) accepted.appendSegment(segment)
      registry.update(id, { ...toKnownJob(taken.value.record), ended: accepted.isEnded() }, 'record')
      return ok(accepted)
    }
    log.info({
      job: id, from: record.owner, epoch: taken.value.record.epoch, segments: segments.value.length
    }, 'job taken over')
    metrics.count('jobs.takenOver')
    return ok(open(id, taken.value, items.value, segments.value))
  }

  async function withdraw (
    id: string, record: JobRecord, { revision, until }: { revision: number | undefined, until: number }
  ): Promise<boolean> {
    const isDeleted = revision !== undefined && (await store.withdraw(id, revision)).isOk()
    if (isDeleted && clock.now() >= until) return true
    for (let failures = 0; !closing.signal.aborted && registry.get(id) === undefined; failures++) {
      if (failures > 0) await clock.sleep(computeBackoff(failures), closing.signal)
      const found = await store.read(id)
      if (found.isErr()) continue
      const stored = found.value
      const isWritten = stored !== undefined && isSameSubmission(stored.record, record)
      // A late write finds its condition met once there is no other record.
      if (!isWritten && clock.now() < until) continue
      if (stored === undefined) return true
      if (stored.record.ended || !isWritten) return false
      if (stored.record.accepted !== true) {
        const isGone = (await store.withdraw(id, stored.revision)).isOk()
        if (isGone) log.info({ job: id, revision: stored.revision }, 'record of a job that was not accepted is deleted')
        if (isGone && clock.now() >= until) return true
      } else if (await takeOverHeld(id)) return false
    }
    return false
  }

  /** Takes over the unfinished jobs that match, with retries; returns the number of other unfinished jobs. */
  async function adoptAll (isMatch: (record: JobRecord) => boolean): Promise<number> {
    for (let failures = 1; !closing.signal.aborted && !options.isLeaving(); failures++) {
      const jobs = await store.list()
      if (jobs.isOk()) {
        const open = [...jobs.value].filter(([, { record }]) => !record.finished && !record.ended)
        const matching = open.filter(([, { record }]) => isMatch(record))
        // A job that was lost to an owner which is gone now has to be read anew.
        for (const [id, { record }] of matching) {
          registry.update(id, toKnownJob(record), 'record')
        }
        const taken = await Promise.all(matching.map(async ([id]) => await takeOver(id)))
        if (taken.every((one) => one)) return open.length - matching.length
      }
      await clock.sleep(computeBackoff(failures), closing.signal)
    }
    return 0
  }

  return {
    openJob: (id, stored, items) => open(id, stored, items),
    scheduleStore: storage.schedule,
    hasResultsInDoubt: storage.isInDoubt,
    endJob: end,
    hold,
    takeOver,
    resolveSubmission: async (id) => {
      const until = clock.now() + LATE_WRITE_MS
      let isOwn = false
      for (let failures = 1; isOwn || clock.now() <= until; failures++) {
        if (closing.signal.aborted || options.isLeaving() || registry.get(id) !== undefined) return
        await clock.sleep(computeBackoff(failures), closing.signal)
        const found = await store.read(id)
        if (found.isErr()) continue
        if (found.value === undefined) {
          isOwn = false
          continue
        }
        isOwn = found.value.record.owner === self
        // Another instance may have acknowledged the job by now, so its owner must keep trying.
        if (!isOwn || await takeOver(id)) return
      }
    },
    withdraw: async (id, record, { revision, isInDoubt }) => {
      const release = hold(id)
      try {
        return await withdraw(id, record, { revision, until: clock.now() + (isInDoubt ? LATE_WRITE_MS : 0) })
      } finally {
        release()
      }
    },
    resolveEnd: async (id, tryEnd) => {
      if (ending.has(id)) return
      if (ending.size >= MAX_ENDING_JOBS) {
        log.warn({ job: id, limit: MAX_ENDING_JOBS }, 'end of a job is not repeated: too many are')
        return
      }
      ending.add(id)
      const until = clock.now() + LATE_WRITE_MS
      try {
        for (let failures = 1; ; failures++) {
          await clock.sleep(computeBackoff(failures), closing.signal)
          if (closing.signal.aborted || options.isLeaving()) return
          const ended = await tryEnd()
          if (ended.isOk()) return
          if (ended.error.reason === 'notFound' && clock.now() > until) return
        }
      } finally {
        ending.delete(id)
      }
    },
    takeOverFrom: async (owner) => {
      if (!isSuccessorOf(owner)) return
      await adoptAll((record) => record.owner === owner && !isAlive(owner))
    },
    recover: async () => {
      const others = await adoptAll((record) => record.owner === self)
      // Owners that start at the same time may not have reported by gossip yet.
      if (others === 0) return
      await clock.sleep(rules.settleMs, closing.signal)
      await adoptAll((record) => record.owner === self || (!isAlive(record.owner) && isSuccessorOf(record.owner)))
    },
    flushAll: storage.flushAll,
    tick: () => {
      const now = clock.now()
      for (const job of registry.owned()) {
        if (job.isEnded()) markComplete(job)
        if (now > job.expiresAt && job.openItems().size > 0 && !job.isEnded()) expireItems(job)
        const unrouted = unroutedItems.find(job)
        if (unrouted.length > 0) giveUpItems(job, unrouted)
        const finished = finishedAt.get(job.id)
        if (finished !== undefined && now - finished > rules.keepMs) registry.remove(job.id)
      }
      memory.removeExcessResults(finishedAt.keys())
      for (const id of finishedAt.keys()) if (registry.get(id) === undefined) finishedAt.delete(id)
    },
    close: () => closing.abort()
  }

  function expireItems (job: OwnedJob): void {
    options.onStop(job)
    log.warn({ job: job.id, items: job.openItems().size }, 'items expired: retention period is over')
    giveUpItems(job, [...job.openItems().keys()])
  }

  function giveUpItems (job: OwnedJob, items: readonly string[]): void {
    for (const item of items) job.finishItem({ item, completed: false, text: '' })
    storage.schedule(job)
  }
}

/** True if a record was written by one submission and not taken over or created anew since. */
function isSameSubmission (stored: JobRecord, written: JobRecord): boolean {
  return stored.owner === written.owner && stored.epoch === written.epoch && stored.submittedAt === written.submittedAt
}
