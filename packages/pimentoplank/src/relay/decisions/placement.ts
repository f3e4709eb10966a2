/**
 * Placement: which target a live request is sent to.
 *
 * Load pattern: steps of live traffic between a third and twice the mean, beside batch work that fills the free slots.
 * A step up arrives faster than batch items end, so a request may be sent to a target with no free slot, where it
 * preempts a batch item or waits shortly in the target's own queue.
 *
 * Load pattern: the same steps in a large fleet, where the load of other instances is known late. Instances prefer
 * different targets, use other failure domains only for overflow, and limit themselves to their share of the queues.
 */
import type { Random } from '../../shared'
import { LIVE_ALLOWANCE } from './limitShare'

/** Capacity, load and health of one target. */
export interface PlacementCandidate {
  id: string
  slots: number
  live: number
  batch: number
  /** The part of `live` and `batch` that this instance sent. */
  ownLive: number
  ownBatch: number
  /** True when it is in the failure domain of this instance. */
  isNear: boolean
  /** True while it is suspected after a failed request. */
  isSuspect: boolean
  /** False when its load is about a second old. */
  isFresh: boolean
  /** True when this instance tries it before others. */
  isPreferred: boolean
  /** Requests that this instance may send now; infinite unless the target has named a limit. */
  allowance: number
}

export interface PlacementRules {
  /** Longest wait in a target's own queue, as a share of the latency target. */
  maxQueueWaitShare: number
  /** Share of all slots that must be free of live requests before a late request gets a slot. */
  lateReserveShare: number
}

export interface PlacementInput {
  candidates: readonly PlacementCandidate[]
  /** Latency target of the route, in milliseconds. */
  targetLatencyMs: number
  /** Number of instances that send to these targets. */
  instances: number
  /** Mean time that a request occupies a slot, in milliseconds. */
  meanRunMs: number
  /** False for a late request, which is only placed where a slot is free or a batch item can be preempted. */
  mayQueue: boolean
  /** True when the request may run again elsewhere, so that a failure at a suspect target costs little. */
  isRepeatable: boolean
  /** True when a target has run the request; the reserve for requests that are not late doesn't hold it back. */
  isContinuation: boolean
}

export type Placement =
  /** A slot is free. */
  | { type: 'free', id: string }
  /** A batch item has to be preempted. */
  | { type: 'yield', id: string }
  /** The request waits in the target's own queue. */
  | { type: 'queue', id: string }
  /** No target has capacity now. */
  | { type: 'wait' }

/**
 * Chooses a target. Suspect targets only receive probes: repeatable requests for which no trusted target has capacity,
 * a few at a time, whose outcome shows whether the target has recovered. When all targets are suspect, they are used
 * like trusted ones.
 */
export function choosePlacement (input: PlacementInput, rules: PlacementRules, random: Random): Placement {
  const candidates = input.candidates.filter(({ allowance }) => allowance >= LIVE_ALLOWANCE)
  if (candidates.length === 0) return { type: 'wait' }
  const trusted = candidates.filter((candidate) => !candidate.isSuspect)
  if (trusted.length === 0) return chooseAmong(candidates, input, rules, random)
  const placement = chooseAmong(trusted, input, rules, random)
  if (placement.type !== 'wait' || !input.isRepeatable) return placement
  const probeable = candidates.filter((one) => one.isSuspect && one.live < MAX_PROBES && countFreeSlots(one) > 0)
  return probeable.length === 0
    ? placement
    : { type: 'free', id: pickWeighted(narrowToPreferred(probeable), countFreeSlots, random).id }
}

/** Maximum number of live requests at a suspect target. */
const MAX_PROBES = 2

/** Prefers targets whose load is fresh; targets with stale load receive the overflow. */
function chooseAmong (
  pool: readonly PlacementCandidate[],
  input: PlacementInput,
  rules: PlacementRules,
  random: Random
): Placement {
  const fresh = pool.filter((one) => one.isFresh)
  if (fresh.length === pool.length || fresh.length === 0) return chooseBest(pool, input, rules, random)
  const placement = chooseBest(fresh, input, rules, random)
  if (placement.type !== 'wait' && placement.type !== 'queue') return placement
  const stale = pool.filter((one) => !one.isFresh && countFreeSlots(one) >= STALE_MARGIN)
  return stale.length === 0 ? placement : { type: 'free', id: pickWeighted(stale, countFreeSlots, random).id }
}

/** Slots of a target that may have been occupied since its load was last reported. */
const STALE_MARGIN = 2

function chooseBest (
  pool: readonly PlacementCandidate[],
  input: PlacementInput,
  rules: PlacementRules,
  random: Random
): Placement {
  const { mayQueue, isContinuation } = input
  const free = pool.filter((one) => countFreeSlots(one) > 0)
  if (!mayQueue && !isContinuation && !hasSurplus(pool, rules)) return { type: 'wait' }
  if (free.length > 0) return { type: 'free', id: pickWeighted(narrowToPreferred(free), countFreeSlots, random).id }
  const yielding = pool.filter((one) => one.batch > 0 && one.live < one.slots)
  if (yielding.length > 0) {
    const own = yielding.filter((one) => one.ownBatch > 0)
    const countRoom = (one: PlacementCandidate): number => one.slots - one.live
    return { type: 'yield', id: pickWeighted(narrowToPreferred(own.length > 0 ? own : yielding), countRoom, random).id }
  }
  if (!mayQueue) return { type: 'wait' }
  const waitMs = input.targetLatencyMs * rules.maxQueueWaitShare
  const queueing = pool.filter((one) => (one.live - one.slots + 1) * input.meanRunMs / one.slots <= waitMs)
  if (queueing.length === 0) return { type: 'wait' }
  if (hasFullShare(pool, input, waitMs, random)) return { type: 'wait' }
  const shortest = Math.min(...queueing.map((one) => one.live - one.slots))
  const best = queueing.filter((one) => one.live - one.slots === shortest)
  return { type: 'queue', id: pickWeighted(narrowToPreferred(best), () => 1, random).id }
}

/**
 * True when this instance already has its share of the requests that all targets may run and queue. This bounds the
 * requests that all instances place on outdated load, however old it is.
 */
function hasFullShare (
  pool: readonly PlacementCandidate[],
  input: PlacementInput,
  waitMs: number,
  random: Random
): boolean {
  const slots = pool.reduce((sum, one) => sum + one.slots, 0)
  const own = pool.reduce((sum, one) => sum + one.ownLive, 0)
  const share = slots * (1 + waitMs / input.meanRunMs) / input.instances
  return own + random() >= share
}

function hasSurplus (candidates: readonly PlacementCandidate[], { lateReserveShare }: PlacementRules): boolean {
  const slots = candidates.reduce((sum, one) => sum + one.slots, 0)
  // Batch items don't count: a live request preempts them, even a late one.
  const room = candidates.reduce((sum, one) => sum + Math.max(0, one.slots - one.live), 0)
  return room > slots * lateReserveShare
}

function countFreeSlots (candidate: PlacementCandidate): number {
  return candidate.slots - candidate.live - candidate.batch
}

function narrowToPreferred<Candidate extends PlacementCandidate> (candidates: Candidate[]): Candidate[] {
  const preferred = candidates.filter((candidate) => candidate.isPreferred)
  if (preferred.length > 0) return preferred
  const near = candidates.filter((candidate) => candidate.isNear)
  return near.length > 0 ? near : candidates
}

/** Picks at random by weight, so that instances with the same view of the load don't all pick the same target. */
function pickWeighted<Candidate> (
  candidates: Candidate[],
  getWeight: (one: Candidate) => number,
  random: Random
): Candidate {
  const total = candidates.reduce((sum, one) => sum + getWeight(one), 0)
  let remaining = random() * total
  for (const candidate of candidates) {
    remaining -= getWeight(candidate)
    if (remaining < 0) return candidate
  }
  return candidates.at(-1)!
}
