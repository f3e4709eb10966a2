/** Knows at which software version streams run that were placed by this instance, or of which it has heard. */
import { LRUCache } from 'lru-cache'
import { hash64, type Clock, type Log } from '../../shared'
import { findPlacedVersion, FORGET_VERSION_MS, hasMissedReports, type PlacedProcess, type ReportNumber } from '../decisions'
import type { Report, StreamNotice } from '../gossip'
import type { Target } from '../model'

/** How this instance knows the version of a stream. */
export type VersionSource = 'own' | 'heard' | 'peer'

export interface KnownStream {
  /** Undefined when it is not known for certain. */
  version: string | undefined
  source: VersionSource
  /** When it was placed or heard of, on the monotonic clock in milliseconds. */
  at: number
  /** Until when it is kept, on the monotonic clock in milliseconds. */
  keepUntil: number
  /** True if the peer that told it may have placed it anew since, and told so in a report that was missed. */
  isInDoubt: boolean
}

/** Part of a report that tells of streams. */
export type StreamReport = Pick<Report, 'instance' | 'streams' | keyof ReportNumber>

interface Entry extends Omit<KnownStream, 'isInDoubt'> {
  /** Peer that told it in a report. */
  sender?: string
}

export interface StreamVersionsOptions {
  /** Finds a registered target by its id. */
  getTarget: (id: string) => Target | undefined
  clock: Clock
  log: Log
}

export interface StreamVersions {
  /**
   * Records that an attempt runs at a target. A later placement replaces an earlier one.
   *
   * @param target - as its entry described it when the attempt was placed there
   * @param startedAt - when the process that gets the attempt started, by its own clock; undefined if not known
   */
  recordPlacement: (attempt: string, target: Target, startedAt: number | undefined) => void
  /** Finds a stream by the hash of the id of the attempt that brought its first event. */
  find: (attempt: bigint) => KnownStream | undefined
  /** Merges what a peer has answered that was asked. */
  merge: (notice: StreamNotice) => void
  /**
   * Merges what a peer has told in a report.
   *
   * @param before - the report before; undefined if the peer was not known or had been silent
   */
  mergeReport: (report: StreamReport, before: ReportNumber | undefined) => void
  /** Returns what load updates tell peers: the latest placements. */
  getLatestNotices: () => StreamNotice[]
  /** Returns what full reports tell peers, which are rarer and go back further. */
  getNotices: () => StreamNotice[]
  /** Finds the version of streams that a process got before its entry was known here; true if there were any. */
  resolve: (target: Target) => boolean
}

/** For how long load updates repeat where a stream was placed, in milliseconds. */
const LATEST_NOTICE_MS = 250
/** For how long full reports do, in milliseconds; longer than their interval. */
const NOTICE_MS = 1000
/** Time after a silence in which a peer that is heard again has sent a report, in milliseconds. */
const CATCH_UP_MS = 500
/** Maximum of streams in one report, so that it fits into one packet. */
const MAX_NOTICES = 64
const MAX_STREAMS = 50_000
const MAX_UNRESOLVED = 1000
const MAX_PEERS = 10_000

/** Creates the registry of an instance. */
export function createStreamVersions ({ getTarget, clock, log }: StreamVersionsOptions): StreamVersions {
  const known = new LRUCache<bigint, Entry>({ max: MAX_STREAMS })
  /** When each peer was heard last, and before which time it may have told what was missed, on the monotonic clock. */
  const senders = new LRUCache<string, { heardAt: number, doubtedUntil: number }>({ max: MAX_PEERS })
  /** When streams were placed or changed, in that order. */
  const recent = new Map<bigint, number>()
  /** Streams at processes that no entry known here describes. */
  const unresolved = new LRUCache<bigint, PlacedProcess & { attempt: string }>({ max: MAX_UNRESOLVED })

  function find (attempt: bigint): KnownStream | undefined {
    const stream = known.get(attempt)
    if (stream === undefined || stream.keepUntil < clock.now()) return undefined
    const { sender, ...rest } = stream
    return { ...rest, isInDoubt: sender !== undefined && isDoubted(sender, rest.at) }
  }

  function isDoubted (sender: string, at: number): boolean {
    const { heardAt = -Infinity, doubtedUntil = Infinity } = senders.get(sender) ?? {}
    return at < doubtedUntil || clock.now() - heardAt > NOTICE_MS
  }

  function addRecent (key: bigint): void {
    recent.delete(key)
    recent.set(key, clock.now())
    prune()
  }

  function prune (): void {
    const since = clock.now() - NOTICE_MS
    for (const [key, at] of recent) {
      if (at >= since) return
      recent.delete(key)
    }
  }

  function recordPlacement (attempt: string, target: Target, startedAt: number | undefined): void {
    const key = hash64(attempt)
    const placed = { attempt, target: target.id, startedAt }
    const version = findPlacedVersion(placed, [target, getTarget(target.id)])
    known.set(key, { version, source: 'own', at: clock.now(), keepUntil: clock.now() + FORGET_VERSION_MS })
    addRecent(key)
    unresolved.delete(key)
    if (version !== undefined) return
    log.info({ req: attempt, target: target.id, listed: target.startedAt, found: startedAt }, 'version of a new stream is not known')
    if (startedAt !== undefined) unresolved.set(key, placed)
  }

  function resolve (target: Target): boolean {
    let hasResolved = false
    for (const [key, placed] of [...unresolved.entries()]) {
      const version = findPlacedVersion(placed, [target])
      const stream = find(key)
      if (version === undefined || stream === undefined) continue
      known.set(key, { ...stream, version })
      unresolved.delete(key)
      addRecent(key)
      hasResolved = true
      log.info({
        req: placed.attempt, target: target.id, version, ageMs: Math.round(clock.now() - stream.at)
      }, 'version of a stream became known')
    }
    return hasResolved
  }

  function merge ({ attempt, version, keepUntil }: StreamNotice, source: 'heard' | 'peer', sender?: string): void {
    const before = find(attempt)
    if (before?.source === 'own') return
    // Notices are repeated; the first arrival tells how old the knowledge is.
    if (before !== undefined && before.version === version && !before.isInDoubt) return
    known.set(attempt, { version, source, at: clock.now(), keepUntil, sender })
  }

  function mergeReport (report: StreamReport, before: ReportNumber | undefined): void {
    const now = clock.now()
    const { heardAt = -Infinity, doubtedUntil = -Infinity } = senders.get(report.instance) ?? {}
    const wasSilent = now - heardAt > NOTICE_MS
    const hasMissed = wasSilent || hasMissedReports(report, before)
    // After a standstill come reports that were sent at its beginning.
    const until = now + (wasSilent ? CATCH_UP_MS : 0)
    senders.set(report.instance, { heardAt: now, doubtedUntil: hasMissed ? until : doubtedUntil })
    report.streams.forEach((notice) => merge(notice, 'heard', report.instance))
  }

  function getNotices (maxAgeMs: number): StreamNotice[] {
    prune()
    const since = clock.now() - maxAgeMs
    return [...recent].filter(([, at]) => at >= since).slice(-MAX_NOTICES).flatMap(([attempt]) => {
      const stream = find(attempt)
      return stream === undefined ? [] : [{ attempt, version: stream.version, keepUntil: stream.keepUntil }]
    })
  }

  return {
    recordPlacement,
    find,
    merge: (notice) => merge(notice, 'peer'),
    mergeReport,
    getLatestNotices: () => getNotices(LATEST_NOTICE_MS),
    getNotices: () => getNotices(NOTICE_MS),
    resolve
  }
}
