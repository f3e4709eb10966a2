/**
 * What a runner knows of the state of its jobs, and how old that is. The feed may be late without a sign of it, and a
 * lease says nothing about jobs, so items are started only on a read of the job that is younger than a bound.
 */
import {
  jobRecord, OBJECT_KINDS, SECOND_MS, type Clock, type Log, type ObjectFeed, type PlatformClient
} from '../shared'

/** Share of the bound after which a job is read again, so that items rarely wait for the answer. */
const REFRESH_SHARE = 0.5
/** Shortest time between the starts of two reads of a job, in milliseconds. */
const MIN_READ_INTERVAL_MS = SECOND_MS

/** Difference between wall clock and monotonic clock that shows that the machine was suspended, in milliseconds. */
const SUSPENDED_MS = SECOND_MS / 2

/** `unknown`: the platform gave no answer, or one that is too old. */
export type KnownState = 'running' | 'ended' | 'unknown'

/** A job of one upload, as known to a runner. */
export interface JobRef {
  name: string
  uploadId: string
  /** Store revision that a read must have reached to count. */
  since: number
}

export interface JobStates {
  /** Reads the state of a job from the platform. */
  read: (job: JobRef) => Promise<KnownState>
  /** Returns `running` only while a read that began less than the bound ago has found the job running. */
  confirm: (job: JobRef) => Promise<KnownState>
  /** Drops what is known of a job. */
  forget: (name: string) => void
}

export interface JobStatesOptions {
  platform: PlatformClient
  feed: ObjectFeed
  clock: Clock
  log: Log
  /** Age from which a read no longer counts, in milliseconds. */
  maxAgeMs: number
}

interface Known {
  /** When the newest read that found the job running was sent. */
  runningAt: number
  /** When the newest read was sent. */
  readAt: number
  reading?: Promise<KnownState>
  /** True while starts are held back and a log line says so. */
  isHeldBack: boolean
}

/** Creates the job states of a runner. */
export function createJobStates ({ platform, feed, clock, log, maxAgeMs }: JobStatesOptions): JobStates {
  const states = new Map<string, Known>()
  /** Reads that were sent before this time don't count. */
  let trustedFrom = -Infinity
  let clockOffset = getClockOffset()

  function getClockOffset (): number {
    return clock.wallTime() - clock.now()
  }

  /** The monotonic clock stops while the machine is suspended, so that earlier reads are older than it tells. */
  function checkClock (): void {
    const offset = getClockOffset()
    if (Math.abs(offset - clockOffset) < SUSPENDED_MS) return
    log.warn({ jumpMs: Math.round(offset - clockOffset) }, 'clocks differ: jobs are read again')
    clockOffset = offset
    trustedFrom = clock.now()
    for (const known of states.values()) known.runningAt = -Infinity
  }

  function getKnown (name: string): Known {
    const known = states.get(name) ?? { runningAt: -Infinity, readAt: -Infinity, isHeldBack: false }
    states.set(name, known)
    return known
  }

  async function readState (ref: JobRef): Promise<KnownState> {
    const known = getKnown(ref.name)
    const sentAt = clock.now()
    known.readAt = sentAt
    const page = await platform.list(OBJECT_KINDS.job, { prefix: ref.name, limit: 1 })
    if (page.isErr() || page.value.revision < ref.since) return 'unknown'
    const found = page.value.items.find(({ name }) => name === ref.name)
    if (found !== undefined) feed.offer(found)
    const job = jobRecord.safeParse(found?.value).data
    const isRunning = job !== undefined && job.uploadId === ref.uploadId && job.state === 'running'
    checkClock()
    if (isRunning && sentAt < trustedFrom) return 'unknown'
    known.runningAt = isRunning ? Math.max(known.runningAt, sentAt) : -Infinity
    return isRunning ? 'running' : 'ended'
  }

  /** Starts a read unless one is under way or was started a moment ago. */
  async function refresh (ref: JobRef, known: Known): Promise<KnownState> {
    if (known.reading === undefined && clock.now() - known.readAt < MIN_READ_INTERVAL_MS) return 'unknown'
    known.reading ??= readState(ref).finally(() => { known.reading = undefined })
    return await known.reading
  }

  async function confirm (ref: JobRef): Promise<KnownState> {
    checkClock()
    const known = getKnown(ref.name)
    const ageMs = clock.now() - known.runningAt
    if (ageMs < maxAgeMs) {
      if (ageMs >= maxAgeMs * REFRESH_SHARE) refresh(ref, known)
      return 'running'
    }
    const state = await refresh(ref, known)
    // The process may have been paused while it waited for the answer.
    const isKnown = state !== 'running' || clock.now() - known.runningAt < maxAgeMs
    logChange(ref, known, isKnown ? state : 'unknown')
    return isKnown ? state : 'unknown'
  }

  function logChange ({ name }: JobRef, known: Known, state: KnownState): void {
    const isHeldBack = state === 'unknown'
    if (isHeldBack === known.isHeldBack) return
    known.isHeldBack = isHeldBack
    const ageMs = Number.isFinite(known.runningAt) ? clock.now() - known.runningAt : undefined
    log.info({ job: name, state, ageMs, maxAgeMs }, isHeldBack ? 'job not known to run: items held back' : 'job state known again')
  }

  return { read: readState, confirm, forget: (name) => { states.delete(name) } }
}
