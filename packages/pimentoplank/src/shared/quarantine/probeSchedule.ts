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
