/**
 * Limits that targets name: which part of a limit this instance may use.
 *
 * Load pattern: most targets are in need and name a few requests a second that they take from all instances together,
 * while the traffic of the fleet goes on. Some instances stop and start meanwhile.
 */
import { rankByRendezvous } from '../../shared'

export interface LimitShareInput {
  /** Requests a second that the target takes from all instances together. */
  perSecond: number
  target: { id: string, failureDomain: string }
  /** Id of this instance. */
  self: string
  /** All instances that may send requests, this one included. */
  instances: ReadonlyArray<{ id: string, failureDomain: string }>
}

/** Requests that an instance may save up. */
const MAX_SAVED = 1.5
/** Together, instances may save up what the limit lets in during this time, in seconds, */
const SAVED_S = 2
/** and this many requests more. */
const SAVED_EXTRA = 3

/**
 * Computes the requests a second that this instance may send. Instances in the target's failure domain come first;
 * the others are ranked by rendezvous hashing, so that a change of the fleet changes few shares.
 *
 * @returns 0 when the limit is left to other instances
 */
export function computeLimitShare ({ perSecond, target, self, instances }: LimitShareInput): number {
  const ranked = rankByRendezvous(target.id, instances, ({ id }) => id)
    .sort((a, b) => rankDomain(a, target) - rankDomain(b, target))
  const count = Math.min(ranked.length, countSharers(perSecond))
  return ranked.slice(0, count).some(({ id }) => id === self) ? perSecond / count : 0
}

/** Bounds the instances that share a limit, so that all of them may send what they have saved up at the same time. */
function countSharers (perSecond: number): number {
  return Math.max(1, Math.floor((SAVED_S * perSecond + SAVED_EXTRA) / MAX_SAVED))
}

function rankDomain (instance: { failureDomain: string }, target: { failureDomain: string }): number {
  return instance.failureDomain === target.failureDomain ? 0 : 1
}

/** Saved requests that a live request needs. */
export const LIVE_ALLOWANCE = 1
/** Saved requests that a batch item needs, so that live requests come first. */
export const BATCH_ALLOWANCE = 1.5

/** Requests that may be sent at some time. */
export interface Allowance {
  saved: number
  /** Time of the last update, on the monotonic clock in milliseconds. */
  at: number
}

const MS_PER_S = 1000

/** Updates an allowance to the present; it grows by the share, and is lost without one. */
export function refillAllowance (before: Allowance, sharePerSecond: number, now: number): Allowance {
  if (sharePerSecond === 0) return { saved: 0, at: now }
  const grown = before.saved + sharePerSecond * (now - before.at) / MS_PER_S
  return { saved: Math.min(MAX_SAVED, grown), at: now }
}
