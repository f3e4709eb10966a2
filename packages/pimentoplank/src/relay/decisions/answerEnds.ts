/**
 * Whether the end of a connection is also that of the answer on it, which has neither a length nor chunks.
 *
 * Load pattern: processes and links that drop connections in an orderly way, one or all of them, while the process
 * lives and goes on to answer. Nothing on the connection itself tells such an end from that of a whole answer.
 */
import type { ProcessRun } from '../model'

export interface AnswerEnd {
  /** Number of events received; undefined for an answer without events. */
  events: number | undefined
  /** True for a run that goes on after an event of an earlier one, which may still be listed under the same id. */
  isResumed: boolean
  /** Id of the last event; undefined before the first, and for an answer without events. */
  lastEventId: number | undefined
  /** Time from its last bytes to its end, in milliseconds. */
  quietMs: number
}

/** A state is up to this old, in milliseconds. */
const MAX_STATE_AGE_MS = 500
/** Added to the time for which a run that was over may still be listed, in milliseconds. */
const LISTED_MARGIN_MS = 30

/** True if the process has made more events of the answer than were received. */
export function hasMadeMore (run: ProcessRun | undefined, { lastEventId }: AnswerEnd): boolean {
  return run !== undefined && lastEventId !== undefined && run.events > lastEventId
}

/** How a process has listed runs whose answers are known to be whole. */
export interface ListHistory {
  /** Number of them that were not listed, or with fewer events, as their connections ended. */
  gone: number
  /** Number of them that were still listed. */
  listed: number
  /** Shortest time from such an end to a state in which the run was gone, in milliseconds. */
  goneAfterMs: number
}

/**
 * Tells after which time a run that is listed as its answer ends has to be gone if the answer is whole. A state that is
 * old lists a run that is over, but with fewer events than were received, unless the end came long after the last one.
 * Some processes list each run for a while after its end; such a list tells less.
 *
 * @returns milliseconds; undefined if the listed run says nothing against the end
 */
export function computeListedMs (
  run: ProcessRun | undefined, end: AnswerEnd, { gone, listed, goneAfterMs }: ListHistory
): number | undefined {
  if (!hasMadeAll(run, end)) return undefined
  const isPrompt = end.events !== undefined && gone > 0 && listed === 0 && goneAfterMs < MAX_STATE_AGE_MS
  return isPrompt ? Math.min(end.quietMs, MAX_STATE_AGE_MS) + goneAfterMs + LISTED_MARGIN_MS : MAX_STATE_AGE_MS
}

/**
 * Adds what the end of a whole answer shows.
 *
 * @param isListed - true if its run was still listed
 * @param afterMs - time from the end to the state that told so, in milliseconds; a run that is listed for less is gone
 */
export function addListedRun (
  { gone, listed, goneAfterMs }: ListHistory, isListed: boolean, afterMs: number
): ListHistory {
  if (isListed) return { gone, listed: listed + 1, goneAfterMs }
  return { gone: gone + 1, listed, goneAfterMs: Math.min(goneAfterMs, afterMs) }
}

/** True if the run is listed with as many events as were received, as if it had not ended. */
export function hasMadeAll (run: ProcessRun | undefined, { events, isResumed }: AnswerEnd): boolean {
  return run !== undefined && !isResumed && (events === undefined || run.events >= events)
}
