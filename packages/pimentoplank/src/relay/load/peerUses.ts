/** Sums the load that peers report of each target. Updated with each report, so that reads need not visit all peers. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../shared'
import type { DomainUses, PeerView, Report, TargetUse } from '../gossip'

export interface PeerUses {
  /** Replaces the previous report of a peer; undefined for a peer without a report before or from now on. */
  replaceReport: (before: Report | undefined, after: Report | undefined) => void
  /** Replaces the previous digest of a failure domain. */
  replaceDigest: (digest: DomainUses) => void
  /** Drops the digests of failure domains for which the predicate is false. */
  retainDigests: (isRetained: (failureDomain: string) => boolean) => void
  /** Returns the requests of all peers at a target. */
  getUse: (key: number) => TargetUse
  /** True while the latest report of some peer lists the target as suspect, for more than its own path to it. */
  isSuspect: (key: number) => boolean
  /**
   * Returns since when peers report that they don't reach the target, on the monotonic clock in milliseconds; undefined
   * if none does. Peers that are cut off from targets don't count.
   */
  getUnreachedSince: (key: number) => number | undefined
  /** Returns when peers were last heard to be answered by the target; undefined for none. */
  getAnswers: (key: number) => PeerAnswers | undefined
  /** Returns the ids of the peers that the target answers according to their latest reports. */
  listAnswered: (key: number) => ReadonlySet<string>
  /** Calls the listener when a peer begins to suspect a target; `isUnreached` if it may be for its own path. */
  onSuspect: (listener: (key: number, isUnreached: boolean) => void) => void
}

/** Since when and until when peers were heard to be answered by a target, on the monotonic clock in milliseconds. */
export interface PeerAnswers {
  since: number
  until: number
}

/** Suspicions of one report. */
interface Suspects {
  /** Targets that failed. */
  failed: ReadonlySet<number>
  /** Targets that the peer did not reach. */
  unreached: ReadonlySet<number>
}

/** Maximum of targets for which it is remembered when they answered peers; the least recent are evicted. */
const MAX_TARGETS = 10_000
/** After a longer time without an answer the target may have been down, in milliseconds. */
const MAX_ANSWER_GAP_MS = 1000
const EMPTY_USES: DomainUses['uses'] = new Map()
const NO_USE: TargetUse = { live: 0, batch: 0 }
const NO_INSTANCES: ReadonlySet<string> = new Set()
const NO_SUSPECTS: Suspects = { failed: new Set(), unreached: new Set() }

/** An instance that is cut off can't tell targets that fail from those that it doesn't reach. */
function getSuspects (report: Report | undefined): Suspects {
  if (report === undefined || report.isCutOff || report.suspects.size === 0) return NO_SUSPECTS
  const all = [...report.suspects]
  return {
    failed: new Set(all.filter((key) => !report.unreached.has(key))),
    unreached: new Set(all.filter((key) => report.unreached.has(key)))
  }
}

/** Creates the aggregate, starting from the current reports of the peers. */
export function createPeerUses (initial: readonly PeerView[], clock: Pick<Clock, 'now'>): PeerUses {
  const uses = new Map<number, TargetUse>()
  const suspects = new Map<number, number>()
  /** By target, since when which peers don't reach it. */
  const unreached = new Map<number, Map<string, number>>()
  const answered = new Map<number, Set<string>>()
  const answers = new LRUCache<number, PeerAnswers>({ max: MAX_TARGETS })
  const listeners: Array<(key: number, isUnreached: boolean) => void> = []

  const digests = new Map<string, DomainUses>()

  function addUses (added: Report['uses'], sign: 1 | -1): void {
    for (const [key, { live, batch, isAnswering }] of added) {
      const sum = uses.get(key) ?? NO_USE
      const next = { live: sum.live + sign * live, batch: sum.batch + sign * batch }
      if (next.live === 0 && next.batch === 0) uses.delete(key)
      else uses.set(key, next)
      if (isAnswering === true && sign > 0) recordAnswer(key)
    }
  }

  function recordAnswer (key: number): void {
    const now = clock.now()
    const known = answers.get(key)
    const isGoingOn = known !== undefined && now - known.until <= MAX_ANSWER_GAP_MS
    answers.set(key, { since: isGoingOn ? known.since : now, until: now })
  }

  function replaceSuspects (before: Report | undefined, after: Report | undefined): void {
    const old = getSuspects(before)
    const next = getSuspects(after)
    for (const key of old.failed) if (!next.failed.has(key)) countSuspect(key, -1)
    for (const key of next.failed) if (!old.failed.has(key)) countSuspect(key, 1)
    const instance = (after ?? before)!.instance
    for (const key of old.unreached) if (!next.unreached.has(key)) removeFrom(unreached, key, instance)
    for (const key of next.unreached) {
      if (old.unreached.has(key)) continue
      const peers = unreached.get(key) ?? new Map<string, number>()
      unreached.set(key, peers.set(instance, clock.now()))
    }
    for (const key of next.failed) if (!old.failed.has(key)) listeners.forEach((listener) => listener(key, false))
    for (const key of next.unreached) if (!old.unreached.has(key)) listeners.forEach((listener) => listener(key, true))
  }

  function countSuspect (key: number, by: 1 | -1): void {
    const count = (suspects.get(key) ?? 0) + by
    if (count === 0) suspects.delete(key)
    else suspects.set(key, count)
  }

  function replaceAnswered (before: Report | undefined, after: Report | undefined): void {
    for (const [key, { isAnswering }] of before?.uses ?? EMPTY_USES) {
      if (isAnswering === true) removeFrom(answered, key, before!.instance)
    }
    for (const [key, { isAnswering }] of after?.uses ?? EMPTY_USES) {
      if (isAnswering === true) answered.set(key, (answered.get(key) ?? new Set()).add(after!.instance))
    }
  }

  function replace (before: Report | undefined, after: Report | undefined): void {
    if (before === undefined && after === undefined) return
    if (before !== undefined) addUses(before.uses, -1)
    if (after !== undefined) addUses(after.uses, 1)
    replaceAnswered(before, after)
    replaceSuspects(before, after)
  }

  for (const { report } of initial) replace(undefined, report)

  return {
    replaceReport: replace,
    replaceDigest: (digest) => {
      addUses(digests.get(digest.failureDomain)?.uses ?? EMPTY_USES, -1)
      digests.set(digest.failureDomain, digest)
      addUses(digest.uses, 1)
    },
    retainDigests: (isRetained) => {
      for (const [failureDomain, { uses: old }] of digests) {
        if (isRetained(failureDomain)) continue
        addUses(old, -1)
        digests.delete(failureDomain)
      }
    },
    getUse: (key) => uses.get(key) ?? NO_USE,
    isSuspect: (key) => suspects.has(key),
    getUnreachedSince: (key) => {
      const peers = unreached.get(key)
      return peers === undefined ? undefined : Math.max(...peers.values())
    },
    getAnswers: (key) => answers.get(key),
    listAnswered: (key) => answered.get(key) ?? NO_INSTANCES,
    onSuspect: (listener) => { listeners.push(listener) }
  }
}

function removeFrom (
  peersByKey: Map<number, { delete: (instance: string) => boolean, size: number }>, key: number, instance: string
): void {
  const peers = peersByKey.get(key)
  peers?.delete(instance)
  if (peers?.size === 0) peersByKey.delete(key)
}
