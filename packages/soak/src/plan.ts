/** Generates the faults of one run from its seed; they may overlap. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export const FAULT_KINDS = [
  'stop', 'kill', 'freeze', 'hangUp', 'killMany',
  'storeBusy', 'storeSilent', 'storeLosesAnswers', 'storeForgets', 'storeLink',
  'targetCrash', 'targetLeaves', 'targetFails', 'targetLink', 'configuration'
] as const

/** Faults of targets that last for seconds; drawn apart, so that the other faults of a seed stay the same. */
export const LONG_FAULT_KINDS = ['crashingPart', 'targetLimit', 'targetEndless'] as const
/** Sound targets that pause, and targets of several software versions; drawn apart as well. */
export const VERSION_FAULT_KINDS = ['targetPauses', 'targetVersions'] as const
/** A target that says in its answers that it leaves while its entry stays; drawn apart as well. */
export const LEAVING_FAULT_KINDS = ['targetTellsLeaving'] as const
/** Instances that are cut off from all targets; drawn apart as well. */
export const CUT_FAULT_KINDS = ['instanceCut'] as const
type LongFaultKind = typeof LONG_FAULT_KINDS[number] | typeof VERSION_FAULT_KINDS[number] |
  typeof LEAVING_FAULT_KINDS[number] | typeof CUT_FAULT_KINDS[number]
export type FaultKind = typeof FAULT_KINDS[number] | LongFaultKind

export interface Fault {
  kind: FaultKind
  /** Time from the start of traffic, in milliseconds. */
  atMs: number
  forMs: number
  /** Random number that selects an instance, a target or a variant; used modulo their count. */
  pick: number
}

export interface SoakRandom {
  /** Returns a number from 0 up to, but not including, 1. */
  nextFloat: () => number
  /** Returns an integer from 0 up to, but not including, a limit. */
  nextInt: (limit: number) => number
}

/** Creates the random number generator of a run. */
export function createSoakRandom (seed: number): SoakRandom {
  const generator = xoroshiro128plus(seed)
  return {
    nextFloat: () => uniformFloat64(generator),
    nextInt: (limit) => uniformInt(generator, 0, limit - 1)
  }
}

/** Mean time between the starts of two faults, in milliseconds; most faults last longer, so that they overlap. */
const MEAN_GAP_MS = 900
const MAX_DURATION_MS = 3500
const MIN_DURATION_MS = 300
const PICK_RANGE = 1_000_000
/** Probability of each long fault. */
const LONG_FAULT_SHARE = 0.5
const LONG_FAULT_MS = 9000

/** Generates the long faults of a run, which start in its first half. */
export function generateLongFaults (
  random: SoakRandom, lengthMs: number, kinds: readonly LongFaultKind[] = LONG_FAULT_KINDS
): Fault[] {
  return kinds.filter(() => random.nextFloat() < LONG_FAULT_SHARE).map((kind) => ({
    kind, atMs: Math.round(random.nextFloat() * lengthMs / 2), forMs: LONG_FAULT_MS, pick: random.nextInt(PICK_RANGE)
  }))
}

/** Generates faults that start within `lengthMs` milliseconds, at exponentially distributed intervals. */
export function generateFaults (random: SoakRandom, lengthMs: number): Fault[] {
  const faults: Fault[] = []
  for (
    let atMs = MEAN_GAP_MS * random.nextFloat();
    atMs < lengthMs;
    atMs += -MEAN_GAP_MS * Math.log(1 - random.nextFloat())
  ) {
    faults.push({
      kind: FAULT_KINDS[random.nextInt(FAULT_KINDS.length)]!,
      atMs: Math.round(atMs),
      forMs: Math.round(MIN_DURATION_MS + random.nextFloat() * (MAX_DURATION_MS - MIN_DURATION_MS)),
      pick: random.nextInt(PICK_RANGE)
    })
  }
  return faults
}
