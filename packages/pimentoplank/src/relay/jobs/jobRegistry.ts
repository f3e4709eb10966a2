/** Registry of the jobs that this instance owns, and of the known state of other instances' jobs. */
import { LRUCache } from 'lru-cache'
import type { Clock, Log } from '../../shared'
import { FIRST_EPOCH, type JobOwnership } from '../gossip'
import type { OwnedJob } from './ownedJob'
import type { JobRecord } from './records'

/** State of a job as its record, or an instance that has read it, tells. */
export interface KnownJob {
  owner: string
  epoch: number
  ended: boolean
  /** True when the job certainly was accepted: its input is stored, and its record can't be withdrawn any more. */
  isAccepted: boolean
}

/**
 * Where the state of a job is known from: its record, read or written for a call; the records that owners follow; a
 * peer; or a job that this instance has opened.
 */
export type StateSource = 'record' | 'followed' | 'peer' | 'opened'

export interface JobRegistry {
  owned: () => Iterable<OwnedJob>
  get: (job: string) => OwnedJob | undefined
  /** Adds a job that this instance now owns; revokes it at once if its end or its next owner is known already. */
  add: (job: OwnedJob) => void
  /** Removes a job that another instance owns, or that needs no more work. */
  remove: (job: string) => void
  /** Returns the last known state of a job, whichever instance owns it. */
  getKnown: (job: string) => KnownJob | undefined
  /** True when the job certainly was accepted; a record that was merely read need not show that. */
  isAccepted: (job: string) => boolean
  /** Drops what is known of a job whose record was deleted. */
  forget: (job: string) => void
  /** Merges the state of a job; a state of an earlier epoch is ignored. */
  update: (job: string, state: KnownJob, source: StateSource) => void
  /** Returns recent changes of jobs for gossip. */
  getNotices: () => JobOwnership[]
  /** Calls the listener when an owned job was taken over by another instance, or ended. */
  onRevoked: (listener: (job: OwnedJob, state: KnownJob) => void) => void
}

export interface JobRegistryOptions {
  self: string
  /** How long a change is repeated in gossip, in milliseconds. */
  noticeMs: number
  /** Called when a change should be gossiped at once. */
  onNotice: () => void
  clock: Clock
  log: Log
}

const MAX_KNOWN_JOBS = 20_000
/** Maximum of notices in one report, so that it fits a datagram. */
const MAX_NOTICES = 24

/**
 * Tells what a record shows of its job. That a job was accepted shows only in what happened to its record later: an
 * instance accepts a job of another one, or takes it over, after it has found the whole input stored.
 */
export function toKnownJob (record: JobRecord): KnownJob {
  const { owner, epoch, ended, finished, accepted } = record
  return { owner, epoch, ended, isAccepted: accepted === true || finished || epoch > FIRST_EPOCH }
}

/** Creates the job registry of an instance. */
export function createJobRegistry ({ self, noticeMs, onNotice, clock, log }: JobRegistryOptions): JobRegistry {
  const jobs = new Map<string, OwnedJob>()
  const known = new LRUCache<string, KnownJob>({ max: MAX_KNOWN_JOBS })
  /** Changes made here, by job, with the time until which they are gossiped. */
  const notices = new Map<string, number>()
  const listeners: Array<(job: OwnedJob, state: KnownJob) => void> = []

  function mergeState (job: string, state: KnownJob, source: StateSource): void {
    const before = known.get(job)
    if (before !== undefined && state.epoch < before.epoch) return
    const { owner, epoch } = state
    const ended = state.ended || before?.ended === true
    const isAccepted = state.isAccepted || before?.isAccepted === true
    const isMoved = before?.epoch !== epoch || before.ended !== ended
    if (!isMoved && before.isAccepted === isAccepted) return
    const merged = { owner, epoch, ended, isAccepted }
    known.set(job, merged)
    // Each owner follows the records of all jobs, so that these changes are neither logged nor gossiped by each.
    if (source !== 'followed' || jobs.has(job)) {
      log.info({ job, ...merged, source, isOwned: jobs.has(job) }, 'job state changed')
    }
    // Peers of older versions take each job that they are told of for accepted.
    if (source !== 'followed' && (ended || (owner === self && isAccepted))) {
      notices.set(job, clock.now() + noticeMs)
      onNotice()
    }
    if (isMoved) revokeIfKnown(job)
  }

  /** Notifies the listeners when an owned job is known to be ended or to have another owner. */
  function revokeIfKnown (job: string): void {
    const owned = jobs.get(job)
    const state = known.get(job)
    if (owned === undefined || state === undefined) return
    const isLost = state.owner !== self && state.epoch >= owned.record().epoch
    if (isLost || state.ended) listeners.forEach((listener) => listener(owned, state))
  }

  function collectNotices (): JobOwnership[] {
    const now = clock.now()
    const list: JobOwnership[] = []
    for (const [job, until] of notices) {
      const entry = known.get(job)
      if (until < now || entry === undefined) notices.delete(job)
      else list.push({ job, ...entry })
    }
    return list.slice(-MAX_NOTICES)
  }

  return {
    owned: () => jobs.values(),
    get: (job) => jobs.get(job),
    add: (job) => {
      jobs.set(job.id, job)
      mergeState(job.id, { ...toKnownJob(job.record()), isAccepted: true }, 'opened')
      // Its end or its next owner may have been heard before it was opened.
      revokeIfKnown(job.id)
    },
    remove: (job) => { jobs.delete(job) },
    getKnown: (job) => known.get(job),
    isAccepted: (job) => known.get(job)?.isAccepted === true,
    forget: (job) => {
      known.delete(job)
      notices.delete(job)
    },
    update: mergeState,
    getNotices: collectNotices,
    onRevoked: (listener) => { listeners.push(listener) }
  }
}
