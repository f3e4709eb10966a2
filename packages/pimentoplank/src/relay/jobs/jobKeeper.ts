/** Stores results of the jobs of this instance, ends jobs that are over, and takes over those of lost instances. */
import { err, ok, type Result } from 'neverthrow'
import { describeCause, PlatformConflict, rankByRendezvous, type Clock, type Log, type Metrics, type PlatformError, type Random } from '../../shared'
import type { PeerView } from '../gossip'
import type { RouteTable } from '../routing'
import type { JobBoard } from './jobBoard'
import type { JobStore, StoredJob } from './jobStore'
import { createOwnedJob, type ItemProgress, type OwnedJob } from './ownedJob'
import type { ItemResult, JobItem, JobRecord } from './records'

export interface JobKeeperRules {
  /** Longest time that a result waits to be stored with others, in milliseconds. */
  storeDelayMs: number
  /** Results are stored at once when they are due within this time, in milliseconds. */
  dueSoonMs: number
  /** Longest pause between tries while the platform does not answer, in milliseconds. */
  maxPauseMs: number
  /** How long a finished job is kept readable, in milliseconds. */
  keepMs: number
  /** After the start, owners that were not heard for this long count as gone, in milliseconds. */
  settleMs: number
}

export interface JobKeeperOptions {
  self: string
  board: JobBoard
  store: JobStore
  table: () => RouteTable | undefined
  peers: () => readonly PeerView[]
  /** True once this instance takes no new work. */
  isLeaving: () => boolean
  /** Called when items may start. */
  onWork: () => void
  /** Called when a job must not run here any more. */
  onStop: (job: OwnedJob) => void
  rules: JobKeeperRules
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface JobKeeper {
  /** Starts to work on a job that was accepted here. */
  open: (id: string, stored: StoredJob, items: readonly JobItem[]) => OwnedJob
  /** An item of the job got its result. */
  noteFinished: (job: OwnedJob) => void
  /** Marks a job of this instance as ended by its caller. */
  end: (job: OwnedJob) => Promise<Result<void, PlatformError>>
  /** Takes a job over from another instance, with what that one knows of its items. */
  takeOver: (
    job: string,
    progress?: ReadonlyMap<string, Partial<ItemProgress>>,
    results?: readonly ItemResult[]
  ) => Promise<boolean>
  /** Finds out whether a job was stored whose submission got no answer, and works on it then. */
  settle: (job: string) => Promise<void>
  /** Takes over the jobs of instances that are gone. */
  adoptFrom: (owner: string) => Promise<void>
  /** Looks for jobs of this instance's earlier life, and of others that did not come back. */
  recover: () => Promise<void>
  /** Stores what is pending; resolves when that is done or the time is up. */
  flushAll: (ms: number) => Promise<void>
  /** Gives up items whose time is over, and forgets old jobs; called at regular times. */
  tick: () => void
  close: () => void
}

const FIRST_PAUSE_MS = 50
/** A write whose answer was lost may still be done after this time, in milliseconds. */
const LATE_WRITE_MS = 8000
/** Pause before the record of a finished job is brought up to date, in milliseconds. */
const FINISH_NOTE_DELAY_MS = 1000

/** Creates the keeper of an instance. */
export function createJobKeeper (options: JobKeeperOptions): JobKeeper {
  const { self, board, store, rules, clock, random, metrics, log } = options
  const closing = new AbortController()
  /** Jobs whose results are being stored now. */
  const storing = new Map<string, Promise<void>>()
  const finishedAt = new Map<string, number>()
  const adopting = new Set<string>()

  board.onNews((job, news) => {
    log.info({ job: job.id, owner: news.owner, epoch: news.epoch, ended: news.ended }, 'job is not worked on here any more')
    if (news.ended) job.markEnded()
    options.onStop(job)
    if (news.owner !== self) board.remove(job.id)
  })

  function open (id: string, stored: StoredJob, items: readonly JobItem[], segments: ItemResult[][] = []): OwnedJob {
    const { record } = stored
    const rulesOfRoute = options.table()?.byName(record.route)?.batch
    const ageMs = Math.max(0, clock.wallTime() - record.submittedAt)
    const target = rulesOfRoute?.completionTargetMs ?? 0
    const job = createOwnedJob({
      id,
      stored,
      items,
      segments,
      dueAt: clock.now() + target - Math.min(ageMs, target),
      giveUpAt: clock.now() + Math.max(0, (rulesOfRoute?.retentionMs ?? Infinity) - ageMs),
      now: () => clock.now()
    })
    board.add(job)
    if (job.isComplete()) finishedAt.set(id, clock.now())
    return job
  }

  function noteFinished (job: OwnedJob): void {
    if (job.pending().length === 0) return
    if (!storing.has(job.id)) {
      const task = storeResults(job).finally(() => storing.delete(job.id))
      storing.set(job.id, task)
    }
  }

  /** Time until the pending results of a job are to be stored. */
  function storeInMs (job: OwnedJob): number {
    if (job.open().size === 0 || options.isLeaving()) return 0
    const now = clock.now()
    const waited = now - (job.pendingSince() ?? now)
    return Math.max(0, Math.min(rules.storeDelayMs - waited, job.dueAt - rules.dueSoonMs - now))
  }

  async function storeResults (job: OwnedJob): Promise<void> {
    let failures = 0
    while (job.pending().length > 0 && board.get(job.id) === job && !closing.signal.aborted) {
      const waitMs = storeInMs(job)
      if (waitMs > 0) {
        await clock.sleep(Math.min(waitMs, rules.storeDelayMs), closing.signal)
        continue
      }
      const results = [...job.pending()]
      const written = await store.writeSegment(job.id, job.segments(), results)
      if (written.isOk()) {
        failures = 0
        if (board.get(job.id) === job) job.appendSegment(written.value)
        log.info({ job: job.id, segment: job.segments(), results: written.value.length, open: job.open().size }, 'results stored')
        continue
      }
      failures += 1
      log.warn({ job: job.id, failures, cause: describeCause(written.error) }, 'results could not be stored')
      metrics.retried('platformUnavailable')
      await clock.sleep(pauseMs(failures), closing.signal)
    }
    if (job.isComplete()) noteComplete(job)
  }

  function pauseMs (failures: number): number {
    return Math.min(rules.maxPauseMs, FIRST_PAUSE_MS * 2 ** failures) * (0.5 + random() / 2)
  }

  function noteComplete (job: OwnedJob): void {
    if (finishedAt.has(job.id)) return
    finishedAt.set(job.id, clock.now())
    if (job.record().finished || job.isEnded()) return
    clock.sleep(FINISH_NOTE_DELAY_MS, closing.signal)
      .then(async () => await changeRecord(job, (record) => ({ ...record, finished: true })))
      .catch((cause: unknown) => log.error({ job: job.id, cause: describeCause(cause) }, 'job could not be closed'))
  }

  /** Changes the record of a job of this instance; gives up when another one owns it now. */
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
      board.learn(job.id, { owner: record.owner, epoch: record.epoch, ended: record.ended })
      job.setStored(current.value)
      if (record.owner !== self) return err(written.error)
    }
  }

  async function end (job: OwnedJob): Promise<Result<void, PlatformError>> {
    options.onStop(job)
    const written = job.isEnded() ? ok(undefined) : await changeRecord(job, (record) => ({ ...record, ended: true }))
    if (written.isErr()) return written
    board.learn(job.id, { owner: self, epoch: job.record().epoch, ended: true })
    log.info({ job: job.id }, 'job ended by its caller')
    return ok(undefined)
  }

  async function takeOver (
    id: string,
    progress?: ReadonlyMap<string, Partial<ItemProgress>>,
    results: readonly ItemResult[] = []
  ): Promise<boolean> {
    if (board.get(id) !== undefined) return true
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
      for (const result of results) job.finish(result)
      for (const [item, known] of progress ?? []) Object.assign(job.open().get(item) ?? {}, known)
      noteFinished(job)
      options.onWork()
      return true
    } finally {
      adopting.delete(id)
    }
  }

  /** Makes this instance the owner; undefined when there is nothing left to do. */
  async function adopt (id: string): Promise<Result<OwnedJob | undefined, PlatformError>> {
    const found = await store.read(id)
    if (found.isErr()) return err(found.error)
    if (found.value === undefined) return ok(undefined)
    const { record, revision } = found.value
    if (record.finished || record.ended) {
      board.learn(id, { owner: record.owner, epoch: record.epoch, ended: record.ended })
      return ok(undefined)
    }
    const items = await store.readItems(id)
    if (items.isErr()) return err(items.error)
    // A job without its whole input was never acknowledged; its caller sends it again.
    if (items.value === undefined) return ok(undefined)
    const taken = await store.update(id, { ...record, owner: self, epoch: record.epoch + 1 }, revision)
    if (taken.isErr()) return err(taken.error)
    const segments: ItemResult[][] = []
    for (;;) {
      const segment = await store.readSegment(id, segments.length)
      if (segment.isErr()) return err(segment.error)
      if (segment.value === undefined) break
      segments.push(segment.value)
    }
    log.info({ job: id, from: record.owner, epoch: taken.value.record.epoch, segments: segments.length }, 'job taken over')
    metrics.count('jobs.takenOver')
    return ok(open(id, taken.value, items.value, segments))
  }

  /** Takes over the open jobs that are wanted; returns how many others are open. */
  async function adoptAll (isWanted: (record: JobRecord) => boolean): Promise<number> {
    for (let failures = 1; !closing.signal.aborted && !options.isLeaving(); failures++) {
      const jobs = await store.list()
      if (jobs.isOk()) {
        const open = [...jobs.value].filter(([, { record }]) => !record.finished && !record.ended)
        const wanted = open.filter(([, { record }]) => isWanted(record))
        const taken = await Promise.all(wanted.map(async ([id]) => await takeOver(id)))
        if (taken.every((one) => one)) return open.length - wanted.length
      }
      await clock.sleep(pauseMs(failures), closing.signal)
    }
    return 0
  }

  function isAlive (instance: string): boolean {
    return instance === self || options.peers().some(({ report }) => report.instance === instance && report.stage !== 'leaving')
  }

  /** One of the living instances takes the jobs of one that is gone. */
  function isSuccessorOf (owner: string): boolean {
    const alive = options.peers().filter(({ report }) => report.stage === 'serving').map(({ report }) => report.instance)
    return rankByRendezvous(owner, [self, ...alive], (id) => id)[0] === self
  }

  return {
    open: (id, stored, items) => open(id, stored, items),
    noteFinished,
    end,
    takeOver,
    settle: async (id) => {
      const until = clock.now() + LATE_WRITE_MS
      let isOwn = false
      for (let failures = 1; isOwn || clock.now() <= until; failures++) {
        if (closing.signal.aborted || options.isLeaving() || board.get(id) !== undefined) return
        await clock.sleep(pauseMs(failures), closing.signal)
        const found = await store.read(id)
        if (found.isErr() || found.value === undefined) continue
        isOwn = found.value.record.owner === self
        // Others may have acknowledged the job by now, so that its owner must not give up.
        if (!isOwn || await takeOver(id)) return
      }
    },
    adoptFrom: async (owner) => {
      if (!isSuccessorOf(owner)) return
      await adoptAll((record) => record.owner === owner && !isAlive(owner))
    },
    recover: async () => {
      const others = await adoptAll((record) => record.owner === self)
      // Owners that start at the same time may not be heard yet.
      if (others === 0) return
      await clock.sleep(rules.settleMs, closing.signal)
      await adoptAll((record) => record.owner === self || (!isAlive(record.owner) && isSuccessorOf(record.owner)))
    },
    flushAll: async (ms) => {
      const tasks = Promise.all([...storing.values()])
      await Promise.race([tasks, clock.sleep(ms)])
    },
    tick: () => {
      const now = clock.now()
      for (const job of board.owned()) {
        if (now > job.giveUpAt && job.open().size > 0 && !job.isEnded()) giveUp(job)
        const finished = finishedAt.get(job.id)
        if (finished !== undefined && now - finished > rules.keepMs) {
          finishedAt.delete(job.id)
          board.remove(job.id)
        }
      }
    },
    close: () => closing.abort()
  }

  function giveUp (job: OwnedJob): void {
    options.onStop(job)
    log.warn({ job: job.id, items: job.open().size }, 'items given up: their time is over')
    for (const item of [...job.open().keys()]) job.finish({ item, completed: false, text: '' })
    noteFinished(job)
  }
}
