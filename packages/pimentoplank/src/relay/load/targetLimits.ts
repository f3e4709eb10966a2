/** Tracks the limits that targets name, and what this instance may still send to them. */
import { LRUCache } from 'lru-cache'
import { hash32, type Clock, type Log } from '../../shared'
import { computeLimitShare, refillAllowance, type Allowance } from '../decisions'
import type { LimitNotice } from '../gossip'
import type { Target } from '../model'

export interface TargetLimitsOptions {
  self: string
  /** Lists all instances that may send requests, this one included. */
  listInstances: () => ReadonlyArray<{ id: string, failureDomain: string }>
  /** Called when a target has begun or ceased to name a limit. */
  onChange: () => void
  clock: Clock
  log: Log
}

export interface TargetLimits {
  /**
   * Records what an answer of a target says of its limit.
   *
   * @param perSecond - requests a second that it takes from all instances together; undefined if it names no limit
   */
  recordAnswer: (targetId: string, perSecond: number | undefined) => void
  /** Returns the limit in force, in requests a second from all instances together; undefined if there is none. */
  getLimit: (targetId: string) => number | undefined
  /** Returns how many requests this instance may send to a target now; infinite without a limit. */
  getAllowance: (target: Target) => number
  /** Counts a request that this instance sends. */
  take: (targetId: string) => void
  /** Returns what peers should know. */
  getNotices: () => LimitNotice[]
  /** Merges what a peer reported. */
  merge: (notices: readonly LimitNotice[]) => void
}

/** Latest answer about a target's limit. */
interface Known {
  /** Undefined when the target no longer names a limit. */
  perSecond: number | undefined
  /** When the target answered, on the local monotonic clock in milliseconds. */
  at: number
  allowance: Allowance
  /** Part of the limit that this instance may use, in requests a second, and when it was computed. */
  share?: { perSecond: number, at: number }
}

/** The shares of a limit are computed anew after this time, as instances come and go, in milliseconds. */
const SHARE_CACHE_MS = 200
const MAX_TARGETS = 2000
/** Maximum of limits in one report. */
const MAX_NOTICES = 64
/** How long a report repeats that a target no longer names a limit, in milliseconds. */
const ENDED_NOTICE_MS = 10_000

/** Creates the limits as seen by an instance. */
export function createTargetLimits (options: TargetLimitsOptions): TargetLimits {
  const { clock, log } = options
  /** By hash of the target's id, which is how peers identify targets. */
  const known = new LRUCache<number, Known>({ max: MAX_TARGETS })

  function update (key: number, perSecond: number | undefined, at: number): boolean {
    const before = known.get(key)
    if (before !== undefined && before.at >= at) return false
    const hasBegun = before?.perSecond === undefined
    // The first requests are earned, since others may use the limit already.
    const allowance = hasBegun ? { saved: 0, at: clock.now() } : before.allowance
    const share = before?.perSecond === perSecond ? before?.share : undefined
    known.set(key, { perSecond, at, allowance, share })
    return before?.perSecond !== perSecond && (hasBegun || perSecond === undefined)
  }

  function getShare (target: Target, perSecond: number, entry: Known): number {
    const now = clock.now()
    if (entry.share === undefined || now - entry.share.at > SHARE_CACHE_MS) {
      const instances = options.listInstances()
      entry.share = { perSecond: computeLimitShare({ perSecond, target, self: options.self, instances }), at: now }
    }
    return entry.share.perSecond
  }

  return {
    recordAnswer: (targetId, perSecond) => {
      const key = hash32(targetId)
      if (perSecond === undefined && known.get(key)?.perSecond === undefined) return
      if (!update(key, perSecond, clock.now())) return
      log.info({ target: targetId, perSecond }, 'target has changed its limit')
      options.onChange()
    },
    getLimit: (targetId) => known.get(hash32(targetId))?.perSecond,
    getAllowance: (target) => {
      if (known.size === 0) return Infinity
      const entry = known.get(hash32(target.id))
      if (entry?.perSecond === undefined) return Infinity
      const share = getShare(target, entry.perSecond, entry)
      entry.allowance = refillAllowance(entry.allowance, share, clock.now())
      return entry.allowance.saved
    },
    take: (targetId) => {
      const entry = known.get(hash32(targetId))
      if (entry !== undefined) entry.allowance = { ...entry.allowance, saved: entry.allowance.saved - 1 }
    },
    getNotices: () => {
      const since = clock.now() - ENDED_NOTICE_MS
      return [...known.entries()]
        .filter(([, { perSecond, at }]) => perSecond !== undefined || at >= since)
        .slice(0, MAX_NOTICES)
        .map(([target, { perSecond, at }]) => ({ target, perSecond, at }))
    },
    merge: (notices) => {
      for (const { target, perSecond, at } of notices) {
        if (!update(target, perSecond, at)) continue
        log.info({ key: target, perSecond, ageMs: Math.round(clock.now() - at) }, 'peer reports the limit of a target')
      }
    }
  }
}
