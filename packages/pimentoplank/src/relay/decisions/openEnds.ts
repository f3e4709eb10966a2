/**
 * What follows the end of a stream that may have more events.
 *
 * Load pattern: as for the ends of answers (`answerEnds.ts`), where the target can be asked for what follows the last
 * event. That takes a slot for a moment, so that full targets may refuse it, and the answer must not wait for ever.
 */
import type { SendFailureReason } from '../exchange'

/** Weight of orderly ends in a row at which no event is left; any of them may have broken off. */
const PROVING_WEIGHT = 4
/** Weight of the end of a run that has written events, and of one that has written none. */
const END_WEIGHT = 2
const EMPTY_END_WEIGHT = 1
/** Number of times that a target which refuses to tell the rest of a live stream is asked again. */
export const MAX_REST_REFUSALS = 3
/** Number of answers other than a stream after which an item counts as whole, for which nobody waits. */
export const MAX_ITEM_REST_REFUSALS = 5
/** Time for which a live stream waits for another target that can be asked, in milliseconds. */
export const REST_WAIT_MS = 500

/**
 * Adds up the orderly ends in a row after the same event.
 *
 * @param ends - weight before
 * @param reason - how the latest run ended; a run that broke off leaves none
 */
export function countOpenEnds (ends: number, reason: SendFailureReason): number {
  if (reason === 'openEnd') return END_WEIGHT
  if (reason === 'emptyEnd') return ends + EMPTY_END_WEIGHT
  return KEEPING.has(reason) ? ends : 0
}

/**
 * Failures to ask for the rest that say nothing about it. A process that has gone since the end, or broke off as it was
 * asked, is a sign that it cut the stream.
 */
const KEEPING: ReadonlySet<SendFailureReason> = new Set([
  'refused', 'peerUnreachable', 'peerLost', 'staleConnection', 'withdrawn', 'aborted', 'noRest', 'unknownProcess'
])

/** True once no event follows. */
export function isEndProven (ends: number): boolean {
  return ends >= PROVING_WEIGHT
}
