/** Knows at which service and software version streams began, at this instance or at peers. */
import { LRUCache } from 'lru-cache'
import { hash64, type Clock, type Log } from '../../shared'
import { findPlacedVersion, FORGET_VERSION_MS, type PlacedProcess } from '../decisions'
import type { Report, StreamNotice } from '../gossip'
import type { Target } from '../model'

/** How this instance knows the version of a stream: it began it, was told by a peer, or has asked one. */
export type VersionSource = 'own' | 'heard' | 'peer'

export interface KnownStream {
  /** Undefined when it is not known for certain; a version that is known does not change any more. */
  version: string | undefined
  /** Service that it began at; undefined where peers of older versions have told of it. */
  service: string | undefined
  source: VersionSource
  /** When it began or was heard of, on the monotonic clock in milliseconds. */
  at: number
  /** Until when it is kept, on the monotonic clock in milliseconds. */
  keepUntil: number
}

/** Part of a report that tells of streams. */
export type StreamReport = Pick<Report, 'instance' | 'incarnation' | 'streams' | 'areStreamsBegun'>

/** Process of an instance. */
export type InstanceProcess = Pick<Report, 'instance' | 'incarnation'>

export interface StreamVersionsOptions {
  /** Finds a registered target by its id. */
  getTarget: (id: string) => Target | undefined
  clock: Clock
  log: Log
}

export interface StreamVersions {
  /**
   * Records that the first event of an attempt is about to be delivered. Until then a stream may move to a target of
   * another version; from then on it stays at this one. Recording it again changes nothing.
   *
   * @param target - as its entry described it when the attempt was sent there
   * @param startedAt - when the process that wrote the event started, by its own clock; undefined if not known
   * @returns what peers have to be told before the event is delivered
   */
  begin: (attempt: string, target: Target, startedAt: number | undefined) => StreamNotice
  /** Finds a stream by the hash of the id of the attempt that brought its first event. */
  find: (attempt: bigint) => KnownStream | undefined
  /** Merges what a peer has told of a stream that has begun. */
  merge: (notice: StreamNotice, source: 'heard' | 'peer') => void
  /** Merges the streams in a report of a peer. */
  mergeReport: (report: StreamReport) => void
  /**
   * Finds the process that has placed a stream, as peers of older versions tell it. Where it was placed may change
   * until it begins, so that only that process knows.
   */
  findPlacer: (attempt: bigint) => InstanceProcess | undefined
  /** Returns what load updates tell peers: the streams that have begun a moment ago. */
  getLatestNotices: () => StreamNotice[]
  /** Returns what full reports tell peers, which are rarer and go back further. */
  getNotices: () => StreamNotice[]
  /** Finds the version of streams that a process began before its entry was known here; true if there were any. */
  resolve: (target: Target) => boolean
}

/** For how long load updates repeat that a stream has begun, in milliseconds. */
const LATEST_NOTICE_MS = 250
/** For how long full reports do, in milliseconds; longer than their interval. */
const NOTICE_MS = 1000
/** Maximum of streams in one report, so that it fits into one packet. */
const MAX_NOTICES = 64
const MAX_STREAMS = 50_000
const MAX_UNRESOLVED = 1000

/** Creates the registry of an instance. */
export function createStreamVersions ({ getTarget, clock, log }: StreamVersionsOptions): StreamVersions {
  const known = new LRUCache<bigint, KnownStream>({ max: MAX_STREAMS })
  /** Processes of older versions that have placed streams. */
  const placers = new LRUCache<bigint, InstanceProcess>({ max: MAX_STREAMS })
  /** When streams began here or their version became known, in that order. */
  const recent = new Map<bigint, number>()
  /** Streams at processes that no entry known here describes. */
  const unresolved = new LRUCache<bigint, PlacedProcess & { attempt: string }>({ max: MAX_UNRESOLVED })

  function find (attempt: bigint): KnownStream | undefined {
    const stream = known.get(attempt)
    return stream === undefined || stream.keepUntil < clock.now() ? undefined : stream
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

  function begin (attempt: string, target: Target, startedAt: number | undefined): StreamNotice {
    const key = hash64(attempt)
    const before = find(key)
    if (before?.source === 'own') return toNotice(key, before)
    const placed = { attempt, target: target.id, startedAt }
    const version = findPlacedVersion(placed, [target, getTarget(target.id)])
    const keepUntil = clock.now() + FORGET_VERSION_MS
    const { service } = target
    const stream: KnownStream = { version, service, source: 'own', at: clock.now(), keepUntil }
    known.set(key, stream)
    addRecent(key)
    log.info({
      req: attempt, target: target.id, listed: target.startedAt, found: startedAt, service, version
    }, 'stream begins')
    if (version === undefined && startedAt !== undefined) unresolved.set(key, placed)
    return toNotice(key, stream)
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

  function merge ({ attempt, version, service, keepUntil }: StreamNotice, source: 'heard' | 'peer'): void {
    const before = find(attempt)
    if (before?.source === 'own') return
    // Notices are repeated; the first arrival tells how old the knowledge is.
    if (before === undefined || (before.version === undefined && version !== undefined)) {
      known.set(attempt, { version, service: service ?? before?.service, source, at: clock.now(), keepUntil })
    } else if (before.service === undefined && before.version === version) {
      known.set(attempt, { ...before, service })
    }
  }

  function mergeReport ({ instance, incarnation, streams, areStreamsBegun }: StreamReport): void {
    for (const notice of streams) {
      if (areStreamsBegun) merge(notice, 'heard')
      else placers.set(notice.attempt, { instance, incarnation })
    }
  }

  function getNotices (maxAgeMs: number): StreamNotice[] {
    prune()
    const since = clock.now() - maxAgeMs
    return [...recent].filter(([, at]) => at >= since).slice(-MAX_NOTICES).flatMap(([attempt]) => {
      const stream = find(attempt)
      return stream === undefined ? [] : [toNotice(attempt, stream)]
    })
  }

  return {
    begin,
    find,
    merge,
    mergeReport,
    findPlacer: (attempt) => placers.get(attempt),
    getLatestNotices: () => getNotices(LATEST_NOTICE_MS),
    getNotices: () => getNotices(NOTICE_MS),
    resolve
  }
}

function toNotice (attempt: bigint, { version, service, keepUntil }: KnownStream): StreamNotice {
  return { attempt, version, service, keepUntil }
}
