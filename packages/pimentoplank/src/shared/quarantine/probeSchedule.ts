/**
 * Probes: when a refused kind of request may try a target again, so that a wrong refusal ends.
 *
 * The schedule depends only on the time since the refusal began, so that an instance that takes over the probing
 * continues it.
 */

/** Time from the beginning of the refusal to the first probe, in milliseconds. */
const FIRST_PROBE_MS = 8000
/** Each probe comes this many times later than the one before. */
const PROBE_FACTOR = 5

/**
 * Returns the number of the probe that is due; undefined if none is.
 *
 * @param ageMs - time since the refusal began, in milliseconds
 * @param latest - number of the latest probe of this instance; -1 if there was none
 */
export function findDueProbe (ageMs: number, latest: number): number | undefined {
  if (ageMs < FIRST_PROBE_MS) return undefined
  const due = Math.floor(Math.log(ageMs / FIRST_PROBE_MS) / Math.log(PROBE_FACTOR))
  return due > latest ? due : undefined
}

export interface ProbeTurn {
  /** Number of the probe that is due. */
  probe: number
  /** Number of turns of it that are over; each belongs to another instance. */
  turn: number
}

/** Time that one instance has for a probe, and the others to hear of its outcome, in milliseconds. */
const TURN_MS = 5000
/** Time from the beginning of a turn in which its instance may begin a probe, in milliseconds. */
const TURN_OPEN_MS = 1500

/**
 * Returns the probe that is due and whose turn it is, for instances that can't agree on one of them: one that is asked
 * for nothing leaves its turn unused. Undefined if none is due, or if the outcome of the last turn is awaited.
 *
 * @param ageMs - time since the refusal began, in milliseconds
 * @param latest - number of the latest probe that is known to have been sent; -1 if there was none
 */
export function findProbeTurn (ageMs: number, latest: number): ProbeTurn | undefined {
  const probe = findDueProbe(ageMs, latest)
  if (probe === undefined) return undefined
  const dueForMs = ageMs - FIRST_PROBE_MS * PROBE_FACTOR ** probe
  const isOpen = dueForMs % TURN_MS <= TURN_OPEN_MS
  return isOpen ? { probe, turn: Math.floor(dueForMs / TURN_MS) } : undefined
}
