/** Remembers which processes of targets have said that they leave, whatever their entries say. */
import { LRUCache } from 'lru-cache'
import { hash32, type Clock, type Log } from '../../shared'
import type { LeavingNotice } from '../gossip'
import type { Target } from '../model'

export interface LeavingTargetsOptions {
  /** Finds a registered target by the hash of its id. */
  findByKey: (key: number) => Target | undefined
  clock: Clock
  log: Log
}

export interface LeavingTargets {
  /**
   * Records that a process of a target has said that it leaves.
   *
   * @param startedAt - when the process started, by its own clock; undefined if its entry does not tell
   * @returns true if this was not known
   */
  record: (targetId: string, startedAt: number | undefined) => boolean
  /** Merges what a peer has heard. */
  merge: (notices: readonly LeavingNotice[]) => void
  /** Returns when the process that an entry describes said so, on the monotonic clock; undefined if it did not. */
  getSince: (target: Target) => number | undefined
  /** Returns what reports tell peers: the latest processes that targets still have. */
  getNotices: () => LeavingNotice[]
}

const MAX_PROCESSES = 10_000
/** Longer than any process goes on after it has said that it leaves, in milliseconds. */
const RETENTION_MS = 600_000
/** Maximum of processes in one report, so that it fits into one packet. */
const MAX_NOTICES = 64

/** Creates the memory of an instance. */
export function createLeavingTargets ({ findByKey, clock, log }: LeavingTargetsOptions): LeavingTargets {
  /** A process is not forgotten when its entry goes: entries lapse and come back. */
  const processes = new LRUCache<string, LeavingNotice>({
    max: MAX_PROCESSES, ttl: RETENTION_MS, perf: { now: () => clock.now() }
  })

  function add (notice: LeavingNotice, source: 'own' | 'heard'): boolean {
    const id = toProcessId(notice.target, notice.startedAt)
    if (processes.has(id)) return false
    processes.set(id, notice)
    const target = findByKey(notice.target)
    if (target !== undefined) {
      log.info({
        target: target.id, startedAt: notice.startedAt, source, ageMs: Math.round(clock.now() - notice.at)
      }, 'target leaves')
    }
    return true
  }

  return {
    record: (targetId, startedAt) => add({ target: hash32(targetId), startedAt, at: clock.now() }, 'own'),
    merge: (notices) => notices.forEach((notice) => add(notice, 'heard')),
    getSince: (target) => {
      if (processes.size === 0) return undefined
      return processes.get(toProcessId(hash32(target.id), target.startedAt))?.at
    },
    getNotices: () => [...processes.values()]
      .filter(({ target, startedAt }) => findByKey(target)?.startedAt === startedAt)
      .slice(0, MAX_NOTICES)
  }
}

function toProcessId (target: number, startedAt: number | undefined): string {
  return `${target}/${startedAt ?? ''}`
}
