/** Knows at which software version streams run that were placed by this instance, or of which it has heard. */
import { LRUCache } from 'lru-cache'
import { hash64, type Clock, type Log } from '../../shared'
import { isVersionDoubtful, VERSION_DOUBT_MS } from '../decisions'
import type { StreamNotice } from '../gossip'
import type { Target } from '../model'

/** How this instance knows the version of a stream. */
export type VersionSource = 'own' | 'heard' | 'peer'

export interface KnownStream {
  /** Undefined when it is not known for certain. */
  version: string | undefined
  source: VersionSource
  /** When it was placed or heard of, on the monotonic clock in milliseconds. */
  at: number
  /** When the caller's deadline passes, on the monotonic clock in milliseconds. */
  keepUntil: number
}

export interface StreamVersionsOptions {
  clock: Clock
  log: Log
}

export interface StreamVersions {
  /**
   * Records that an attempt runs at a target. A later placement replaces an earlier one.
   *
   * @param keepUntil - when the caller's deadline passes, on the monotonic clock in milliseconds
   */
  recordPlacement: (attempt: string, target: Target, keepUntil: number) => void
  /** Finds a stream by the hash of the id of the attempt that brought its first event. */
  find: (attempt: bigint) => KnownStream | undefined
  /** Merges what peers have told. */
  merge: (notices: readonly StreamNotice[], source: 'heard' | 'peer') => void
  /** Returns what load updates tell peers: the latest placements. */
  getLatestNotices: () => StreamNotice[]
  /** Returns what full reports tell peers, which are rarer and go back further. */
  getNotices: () => StreamNotice[]
  /** Returns the longest time from a placement to the caller's deadline that was heard of, in milliseconds. */
  getLongestKeepMs: () => number
  /** Drops what is known of runs that were placed at a target a moment before its version changed. */
  recordVersionChange: (targetId: string) => void
}

interface Placement {
  attempt: string
  target: string
  at: number
}

/** For how long load updates repeat where a stream was placed, in milliseconds. */
const LATEST_NOTICE_MS = 250
/** For how long full reports do, in milliseconds; longer than their interval. */
const NOTICE_MS = 1000
/** Maximum of streams in one report, so that it fits into one packet. */
const MAX_NOTICES = 64
const MAX_STREAMS = 50_000

/** Creates the registry of an instance. */
export function createStreamVersions ({ clock, log }: StreamVersionsOptions): StreamVersions {
  const known = new LRUCache<bigint, KnownStream>({ max: MAX_STREAMS })
  /** In the order in which they were placed or changed. */
  const recent = new Map<bigint, Placement>()
  let longestKeepMs = 0

  function remember (attempt: bigint, stream: KnownStream): void {
    known.set(attempt, stream)
    longestKeepMs = Math.max(longestKeepMs, stream.keepUntil - stream.at)
  }

  function find (attempt: bigint): KnownStream | undefined {
    const stream = known.get(attempt)
    return stream === undefined || stream.keepUntil < clock.now() ? undefined : stream
  }

  function addRecent (key: bigint, placement: Placement): void {
    recent.delete(key)
    recent.set(key, placement)
    prune()
  }

  function prune (): void {
    const since = clock.now() - Math.max(NOTICE_MS, VERSION_DOUBT_MS)
    for (const [key, { at }] of recent) {
      if (at >= since) return
      recent.delete(key)
    }
  }

  function recordPlacement (attempt: string, target: Target, keepUntil: number): void {
    const key = hash64(attempt)
    const now = clock.now()
    remember(key, { version: target.version, source: 'own', at: now, keepUntil })
    addRecent(key, { attempt, target: target.id, at: now })
  }

  function recordVersionChange (targetId: string): void {
    const now = clock.now()
    for (const [key, { attempt, target, at }] of [...recent]) {
      const stream = known.get(key)
      if (target !== targetId || stream?.version === undefined || !isVersionDoubtful(at, now)) continue
      known.set(key, { ...stream, version: undefined })
      addRecent(key, { attempt, target, at: now })
      log.info({
        req: attempt, target, version: stream.version, ageMs: Math.round(now - at)
      }, 'stream version is in doubt: the target has changed its version')
    }
  }

  function merge (notices: readonly StreamNotice[], source: 'heard' | 'peer'): void {
    for (const { attempt, version, keepUntil } of notices) {
      const before = find(attempt)
      if (before?.source === 'own') continue
      // Notices are repeated; the first arrival tells how old the knowledge is.
      if (before !== undefined && before.version === version) continue
      remember(attempt, { version, source, at: clock.now(), keepUntil })
    }
  }

  function getNotices (maxAgeMs: number): StreamNotice[] {
    prune()
    const since = clock.now() - maxAgeMs
    return [...recent].filter(([, { at }]) => at >= since).slice(-MAX_NOTICES).flatMap(([attempt]) => {
      const stream = find(attempt)
      return stream === undefined ? [] : [{ attempt, version: stream.version, keepUntil: stream.keepUntil }]
    })
  }

  return {
    recordPlacement,
    find,
    merge,
    getLatestNotices: () => getNotices(LATEST_NOTICE_MS),
    getNotices: () => getNotices(NOTICE_MS),
    getLongestKeepMs: () => longestKeepMs,
    recordVersionChange
  }
}
