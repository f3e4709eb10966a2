/** Jobs of this instance, and what is known of those of others. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../shared'
import type { JobNote } from '../gossip'
import type { OwnedJob } from './ownedJob'

export interface KnownJob {
  owner: string
  epoch: number
  ended: boolean
}

export interface JobBoard {
  owned: () => Iterable<OwnedJob>
  get: (job: string) => OwnedJob | undefined
  /** Adds a job that this instance works on from now on. */
  add: (job: OwnedJob) => void
  /** Removes a job that another instance works on, or that needs no more work. */
  remove: (job: string) => void
  /** What is known of a job, whoever works on it. */
  known: (job: string) => KnownJob | undefined
  /** Takes in news of a job; news of an earlier epoch changes nothing. */
  learn: (job: string, news: KnownJob) => void
  /** What peers are to hear. */
  notes: () => JobNote[]
  /** Calls the listener when an owned job turns out to be another's, or ended. */
  onNews: (listener: (job: OwnedJob, news: KnownJob) => void) => void
}

export interface JobBoardOptions {
  self: string
  /** How long peers are told of a change, in milliseconds. */
  noticeMs: number
  /** Called when peers are to hear of a change. */
  onNotice: () => void
  clock: Clock
}

const MAX_KNOWN_JOBS = 20_000
/** Most notes in one report, so that it fits a datagram. */
const MAX_NOTES = 24

/** Creates the board of an instance. */
export function createJobBoard ({ self, noticeMs, onNotice, clock }: JobBoardOptions): JobBoard {
  const jobs = new Map<string, OwnedJob>()
  const known = new LRUCache<string, KnownJob>({ max: MAX_KNOWN_JOBS })
  /** Own changes, by job, with the time until which peers are told. */
  const notices = new Map<string, number>()
  const listeners: Array<(job: OwnedJob, news: KnownJob) => void> = []

  function learn (job: string, news: KnownJob): void {
    const before = known.get(job)
    if (before !== undefined && news.epoch < before.epoch) return
    const ended = news.ended || before?.ended === true
    if (before?.epoch === news.epoch && before.ended === ended) return
    const merged = { ...news, ended }
    known.set(job, merged)
    if (news.owner === self || ended) {
      notices.set(job, clock.now() + noticeMs)
      onNotice()
    }
    const owned = jobs.get(job)
    if (owned === undefined) return
    const isLost = news.owner !== self && news.epoch >= owned.record().epoch
    if (isLost || ended) listeners.forEach((listener) => listener(owned, merged))
  }

  function notes (): JobNote[] {
    const now = clock.now()
    const list: JobNote[] = []
    for (const [job, until] of notices) {
      const entry = known.get(job)
      if (until < now || entry === undefined) notices.delete(job)
      else list.push({ job, ...entry })
    }
    return list.slice(-MAX_NOTES)
  }

  return {
    owned: () => jobs.values(),
    get: (job) => jobs.get(job),
    add: (job) => {
      jobs.set(job.id, job)
      const { owner, epoch, ended } = job.record()
      learn(job.id, { owner, epoch, ended })
    },
    remove: (job) => { jobs.delete(job) },
    known: (job) => known.get(job),
    learn,
    notes,
    onNews: (listener) => { listeners.push(listener) }
  }
}
