/** Draws the faults of one run from its seed: in series, and overlapping. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export const FAULT_KINDS = [
  'stop', 'kill', 'freeze', 'hangUp', 'killMany',
  'storeBusy', 'storeSilent', 'storeLosesAnswers', 'storeForgets', 'storeLink',
  'targetCrash', 'targetLeaves', 'targetFails', 'targetLink', 'configuration'
] as const
export type FaultKind = typeof FAULT_KINDS[number]

export interface Fault {
  kind: FaultKind
  /** Time from the start of traffic, in milliseconds. */
  atMs: number
  forMs: number
  /** Picks an instance, a target or a variant; used modulo their number. */
  pick: number
}

export interface SoakRandom {
  /** A number from 0 up to 1. */
  next: () => number
  /** A whole number from 0 up to a limit, which is left out. */
  below: (limit: number) => number
}

/** Creates the random source of a run. */
export function createSoakRandom (seed: number): SoakRandom {
  const generator = xoroshiro128plus(seed)
  return {
    next: () => uniformFloat64(generator),
    below: (limit) => uniformInt(generator, 0, limit - 1)
  }
}

/** Mean time between two faults, in milliseconds; shorter than they last, so that they overlap. */
const MEAN_GAP_MS = 900
const LONGEST_MS = 3500
const SHORTEST_MS = 300
const PICKS = 1_000_000

/** Draws faults for a time, in milliseconds. */
export function drawFaults (random: SoakRandom, lengthMs: number): Fault[] {
  const faults: Fault[] = []
  for (let atMs = MEAN_GAP_MS * random.next(); atMs < lengthMs; atMs += -MEAN_GAP_MS * Math.log(1 - random.next())) {
    faults.push({
      kind: FAULT_KINDS[random.below(FAULT_KINDS.length)]!,
      atMs: Math.round(atMs),
      forMs: Math.round(SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS)),
      pick: random.below(PICKS)
    })
  }
  return faults
}
