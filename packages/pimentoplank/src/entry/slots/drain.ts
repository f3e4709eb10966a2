/** Estimates from the measured run times how fast a target's queue drains. */

/** Weight of the newest run time in the mean. */
const NEWEST_SHARE = 0.1

export interface Drain {
  /** Mean time that a live request holds a slot, in milliseconds. */
  meanRunMs: () => number
  report: (runMs: number) => void
}

/**
 * Creates the estimate of one target.
 *
 * @param initialRunMs - mean run time until one is measured
 */
export function createDrain (initialRunMs: number): Drain {
  let mean: number | undefined
  return {
    meanRunMs: () => mean ?? initialRunMs,
    report: (runMs) => { mean = mean === undefined ? runMs : mean + (runMs - mean) * NEWEST_SHARE }
  }
}
