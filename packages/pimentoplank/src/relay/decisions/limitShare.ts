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

/** A limit is shared by so few instances that each may send at least this many requests a second. */
const MIN_SHARE_PER_SECOND = 0.8

/**
 * Computes the requests a second that this instance may send. Instances in the target's failure domain come first;
 * the others are ranked by rendezvous hashing, so that a change of the fleet changes few shares.
 *
 * @returns 0 when the limit is left to other instances
 */
export function computeLimitShare ({ perSecond, target, self, instances }: LimitShareInput): number {
  const ranked = rankByRendezvous(target.id, instances, ({ id }) => id)
    .sort((a, b) => rankDomain(a, target) - rankDomain(b, target))
  const count = Math.min(ranked.length, Math.max(1, Math.floor(perSecond / MIN_SHARE_PER_SECOND)))
  return ranked.slice(0, count).some(({ id }) => id === self) ? perSecond / count : 0
}

function rankDomain (instance: { failureDomain: string }, target: { failureDomain: string }): number {
  return instance.failureDomain === target.failureDomain ? 0 : 1
}

/** Requests that may be saved up. */
const MAX_SAVED = 1.5
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

/** Updates an allowance to the present; it grows by the share. */
export function refillAllowance (before: Allowance, sharePerSecond: number, now: number): Allowance {
  const grown = before.saved + sharePerSecond * (now - before.at) / MS_PER_S
  return { saved: Math.min(MAX_SAVED, grown), at: now }
}
