/**
 * Which target a live request goes to.
 *
 * Load pattern: steps of live traffic between a third and twice the mean, beside batch work that fills what is free.
 * A step up arrives faster than batch items end, so a request may go to a target whose slots are taken, where a batch
 * item is taken off for it, or where it waits shortly in the target's own queue.
 *
 * Load pattern: the same steps in a large fleet, where what others do is seen late. Instances try different targets
 * first, leave those of other failure domains for what their own can't take, and keep to their share of the queues.
 */
import type { Random } from '../../shared'

/** What placing needs to know of a target. */
export interface PlacementCandidate {
  id: string
  slots: number
  live: number
  batch: number
  /** Live requests and batch items of this instance among them. */
  ownLive: number
  ownBatch: number
  /** True when it stands in the failure domain of this instance. */
  isNear: boolean
  /** True when it failed a request a short while ago. */
  isSuspect: boolean
  /** False when its load is only known as it was about a second ago. */
  isFresh: boolean
  /** True when this instance tries it before others. */
  isPreferred: boolean
}

export interface PlacementRules {
  /** Share of the target latency that a request may wait in a target's own queue. */
  queueShare: number
  /** Share of all slots that must be free before a request that can't be on time takes one. */
  lateReserveShare: number
}

export interface PlacementInput {
  candidates: readonly PlacementCandidate[]
  targetLatencyMs: number
  /** Instances that send to these targets. */
  instances: number
  /** Mean time of a request at a target. */
  meanRunMs: number
  /** False for a request that can't be on time any more: it takes only what is free. */
  mayQueue: boolean
  /** True when the request may run again elsewhere, so that a target that may fail it costs little. */
  isRepeatable: boolean
}

export type Placement =
  /** A slot is free. */
  | { type: 'free', id: string }
  /** Batch work has to go for it. */
  | { type: 'yield', id: string }
  /** It waits in the target's queue. */
  | { type: 'queue', id: string }
  /** No target takes it now. */
  | { type: 'wait' }

/**
 * Chooses a target. Suspects get what no other target takes, a request or two at a time and only those that may run
 * again; the answers tell whether they are well. Where every target is suspect, they are used like any.
 */
export function choosePlacement (input: PlacementInput, rules: PlacementRules, random: Random): Placement {
  const trusted = input.candidates.filter((candidate) => !candidate.isSuspect)
  if (trusted.length === 0) return chooseAmong(input.candidates, input, rules, random)
  const placement = chooseAmong(trusted, input, rules, random)
  if (placement.type !== 'wait' || !input.isRepeatable) return placement
  const probed = input.candidates.filter((one) => one.isSuspect && one.live < MAX_PROBES && freeSlots(one) > 0)
  return probed.length === 0 ? placement : { type: 'free', id: pickSpread(prefer(probed), freeSlots, random).id }
}

/** Live requests that a suspect target may have. */
const MAX_PROBES = 2

/** Where only the load of some targets is known as it is, the others take what those can't. */
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
  const stale = pool.filter((one) => !one.isFresh && freeSlots(one) >= STALE_MARGIN)
  return stale.length === 0 ? placement : { type: 'free', id: pickSpread(stale, freeSlots, random).id }
}

/** Slots of a target that may have been taken since its load was last heard. */
const STALE_MARGIN = 2

function chooseBest (
  pool: readonly PlacementCandidate[],
  input: PlacementInput,
  rules: PlacementRules,
  random: Random
): Placement {
  const { mayQueue } = input
  const free = pool.filter((one) => freeSlots(one) > 0)
  if (!mayQueue && !hasSurplus(pool, rules)) return { type: 'wait' }
  if (free.length > 0) return { type: 'free', id: pickSpread(prefer(free), freeSlots, random).id }
  const yielding = pool.filter((one) => one.batch > 0 && one.live < one.slots)
  if (yielding.length > 0) {
    const own = yielding.filter((one) => one.ownBatch > 0)
    const roomOf = (one: PlacementCandidate): number => one.slots - one.live
    return { type: 'yield', id: pickSpread(prefer(own.length > 0 ? own : yielding), roomOf, random).id }
  }
  if (!mayQueue) return { type: 'wait' }
  const waitMs = input.targetLatencyMs * rules.queueShare
  const queueing = pool.filter((one) => (one.live - one.slots + 1) * input.meanRunMs / one.slots <= waitMs)
  if (queueing.length === 0) return { type: 'wait' }
  if (isOverShare(pool, input, waitMs, random)) return { type: 'wait' }
  const shortest = Math.min(...queueing.map((one) => one.live - one.slots))
  const best = queueing.filter((one) => one.live - one.slots === shortest)
  return { type: 'queue', id: pickSpread(prefer(best), () => 1, random).id }
}

/**
 * True when this instance has more than its share of what all targets may run and queue. Requests that others have
 * placed since their load was last heard are bounded so, however old the view is.
 */
function isOverShare (
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
  // Batch items give way to a live request, also to a late one.
  const room = candidates.reduce((sum, one) => sum + Math.max(0, one.slots - one.live), 0)
  return room > slots * lateReserveShare
}

function freeSlots (candidate: PlacementCandidate): number {
  return candidate.slots - candidate.live - candidate.batch
}

function prefer<Candidate extends PlacementCandidate> (candidates: Candidate[]): Candidate[] {
  const preferred = candidates.filter((candidate) => candidate.isPreferred)
  if (preferred.length > 0) return preferred
  const near = candidates.filter((candidate) => candidate.isNear)
  return near.length > 0 ? near : candidates
}

/** Picks by weight, so that instances with the same view don't all pick the same target. */
function pickSpread<Candidate> (
  candidates: Candidate[],
  weightOf: (one: Candidate) => number,
  random: Random
): Candidate {
  const total = candidates.reduce((sum, one) => sum + weightOf(one), 0)
  let rest = random() * total
  for (const candidate of candidates) {
    rest -= weightOf(candidate)
    if (rest < 0) return candidate
  }
  return candidates.at(-1)!
}
