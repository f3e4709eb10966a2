/** Moving average of the run times of a target, from which the wait in its queue is estimated. */

/** Weight of the newest run time in the exponential moving average. */
const NEWEST_WEIGHT = 0.1

export interface RunTimeAverage {
  /** Returns the mean time that a live request occupies a slot, in milliseconds. */
  meanRunMs: () => number
  /** Records the run time of a finished request, in milliseconds. */
  record: (runMs: number) => void
}

/**
 * Creates the moving average of one target.
 *
 * @param initialRunMs - mean run time until one is measured, in milliseconds
 */
export function createRunTimeAverage (initialRunMs: number): RunTimeAverage {
  let mean: number | undefined
  return {
    meanRunMs: () => mean ?? initialRunMs,
    record: (runMs) => { mean = mean === undefined ? runMs : mean + (runMs - mean) * NEWEST_WEIGHT }
  }
}
