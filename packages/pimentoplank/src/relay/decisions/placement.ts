/**
 * Which target a live request goes to.
 *
 * Load pattern: steps of live traffic between a third and twice the mean, beside batch work that fills what is free.
 * A step up arrives faster than batch items end, so a request may go to a target whose slots are taken, where a batch
 * item is taken off for it, or where it waits shortly in the target's own queue.
 */
import type { Random } from '../../shared'

/** What placing needs to know of a target. */
export interface PlacementCandidate {
  id: string
  slots: number
  live: number
  batch: number
  /** Batch items of this instance among them. */
  ownBatch: number
  /** True when it stands in the failure domain of this instance. */
  isNear: boolean
  /** True when it was found silent or unreachable a short while ago. */
  isSuspect: boolean
}

export interface PlacementRules {
  /** Live requests that may wait in a target's own queue, beyond its slots. */
  targetQueue: number
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

/** Chooses a target; suspects only where there is no other. */
export function choosePlacement (
  candidates: readonly PlacementCandidate[],
  rules: PlacementRules,
  random: Random
): Placement {
  const trusted = candidates.filter((candidate) => !candidate.isSuspect)
  const pool = trusted.length > 0 ? trusted : candidates
  const free = pool.filter((one) => freeSlots(one) > 0)
  if (free.length > 0) return { type: 'free', id: pickSpread(preferNear(free), freeSlots, random).id }
  const yielding = pool.filter((one) => one.batch > 0 && one.live < one.slots)
  if (yielding.length > 0) {
    const own = yielding.filter((one) => one.ownBatch > 0)
    const roomOf = (one: PlacementCandidate): number => one.slots - one.live
    return { type: 'yield', id: pickSpread(preferNear(own.length > 0 ? own : yielding), roomOf, random).id }
  }
  const queueing = pool.filter((one) => one.live - one.slots < rules.targetQueue)
  if (queueing.length === 0) return { type: 'wait' }
  const shortest = Math.min(...queueing.map((one) => one.live - one.slots))
  const best = queueing.filter((one) => one.live - one.slots === shortest)
  return { type: 'queue', id: pickSpread(preferNear(best), () => 1, random).id }
}

function freeSlots (candidate: PlacementCandidate): number {
  return candidate.slots - candidate.live - candidate.batch
}

function preferNear<Candidate extends PlacementCandidate> (candidates: Candidate[]): Candidate[] {
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
