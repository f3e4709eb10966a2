/** How long items take, from those that were finished here. */

export interface ItemPace {
  /** Notes a finished item. */
  noteFinished: (events: number) => void
  /** Notes a run. */
  noteRun: (events: number, ms: number) => void
  /**
   * Slot time that an item still needs, in milliseconds.
   *
   * @param events - events that it has
   */
  leftMs: (events: number) => number
}

/** Weight of a new figure in a running mean. */
const MEAN_WEIGHT = 0.1
/** Fewest events that a run tells something by. */
const MIN_RUN_EVENTS = 5

/** Creates the record of an instance; until it knows better, an item needs no time. */
export function createItemPace (): ItemPace {
  let meanEvents: number | undefined
  let msPerEvent: number | undefined

  function mean (before: number | undefined, value: number): number {
    return before === undefined ? value : before + (value - before) * MEAN_WEIGHT
  }

  return {
    noteFinished: (events) => { meanEvents = mean(meanEvents, events) },
    noteRun: (events, ms) => { if (events >= MIN_RUN_EVENTS) msPerEvent = mean(msPerEvent, ms / events) },
    leftMs: (events) => Math.max(0, (meanEvents ?? 0) - events) * (msPerEvent ?? 0)
  }
}
