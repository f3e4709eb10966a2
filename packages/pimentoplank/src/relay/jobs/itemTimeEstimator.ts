/** Estimates how long items take, from those that ran on this instance. */

export interface ItemTimeEstimator {
  /** Records the number of events of a completed item. */
  recordCompletion: (events: number) => void
  /** Records the events and the duration of one run, in milliseconds. */
  recordRun: (events: number, ms: number) => void
  /**
   * Estimates the slot time that an item still needs, in milliseconds.
   *
   * @param events - number of events received so far
   */
  estimateRemainingMs: (events: number) => number
}

/** Weight of a new sample in the exponential moving averages. */
const MEAN_WEIGHT = 0.1
/** Runs with fewer events are too short for a meaningful sample. */
const MIN_RUN_EVENTS = 5

/** Creates an estimator; without samples, the estimate is 0. */
export function createItemTimeEstimator (): ItemTimeEstimator {
  let meanEvents: number | undefined
  let msPerEvent: number | undefined

  function updateMean (before: number | undefined, value: number): number {
    return before === undefined ? value : before + (value - before) * MEAN_WEIGHT
  }

  return {
    recordCompletion: (events) => { meanEvents = updateMean(meanEvents, events) },
    recordRun: (events, ms) => { if (events >= MIN_RUN_EVENTS) msPerEvent = updateMean(msPerEvent, ms / events) },
    estimateRemainingMs: (events) => Math.max(0, (meanEvents ?? 0) - events) * (msPerEvent ?? 0)
  }
}
