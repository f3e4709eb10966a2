/**
 * Age of what an owner knows of its jobs: whether items may start, and when the stored records are read again.
 *
 * Load pattern: jobs are ended or taken over by instances that their owner doesn't hear, while the platform answers in
 * milliseconds, in a second, or not at all. Whoever acknowledges an end has only written it to the record. An item that
 * starts at most the longest age after its job was last known to run starts at most as long after such an answer,
 * whatever was lost between instances. All jobs of an owner are read with one call.
 */

export interface RecordAgeRules {
  /** Longest age of the record of a job at which its items may start, in milliseconds. */
  maxAgeMs: number
  /**
   * Age of the record at which items are given up that were sent and aren't answered yet, in milliseconds: on a
   * connection that hangs, they may reach their targets at any later time.
   */
  maxUnansweredAgeMs: number
  /** Longest age at which the owner's word that there are no further results stands, in milliseconds. */
  maxReadAgeMs: number
}

/** Share of the longest age after which records are read again, less the time that the platform takes to answer. */
const REFRESH_SHARE = 0.5
/** Shortest time between two reads, in milliseconds. */
const MIN_REFRESH_MS = 100

/**
 * True while the record is recent enough to start items.
 *
 * @param confirmedAt - time at which the record was current, in milliseconds on the clock of `now`
 */
export function mayStartItems (confirmedAt: number, now: number, { maxAgeMs }: RecordAgeRules): boolean {
  return now - confirmedAt <= maxAgeMs
}

/** True while the record is recent enough to go on with items that their targets haven't begun to answer. */
export function mayAwaitAnswers (confirmedAt: number, now: number, { maxUnansweredAgeMs }: RecordAgeRules): boolean {
  return now - confirmedAt <= maxUnansweredAgeMs
}

/** True while the owner of a job may say that there are no further results. */
export function mayDenyResults (confirmedAt: number, now: number, { maxReadAgeMs }: RecordAgeRules): boolean {
  return now - confirmedAt <= maxReadAgeMs
}

/**
 * Computes at which age records are read again, in milliseconds.
 *
 * @param answerMs - how long the platform took to answer last time, in milliseconds
 */
export function computeRefreshAgeMs (answerMs: number, { maxAgeMs }: RecordAgeRules): number {
  return Math.max(MIN_REFRESH_MS, maxAgeMs * REFRESH_SHARE - answerMs)
}
