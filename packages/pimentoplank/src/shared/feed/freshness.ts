/** How long ago the platform was last heard, directly or through a peer. */
import type { Clock } from '../clock'

export interface Freshness {
  /** Notes an answer of the platform itself. */
  notePlatform: () => void
  /** Notes a peer that heard from the platform some milliseconds ago. */
  notePeer: (ageMs: number) => void
  /** Milliseconds since the last sign by any way; a large number before the first. */
  ageMs: () => number
  /** Milliseconds since the last sign that came through a peer. */
  peerAgeMs: () => number
}

/** Largest age that is sent to peers. */
export const MAX_AGE_MS = 0x7fffffff

/** Creates the record of an instance. */
export function createFreshness (clock: Clock): Freshness {
  let platformAt = -MAX_AGE_MS
  let peerAt = -MAX_AGE_MS

  function since (at: number): number {
    return Math.min(MAX_AGE_MS, Math.max(0, Math.round(clock.now() - at)))
  }

  return {
    notePlatform: () => { platformAt = clock.now() },
    notePeer: (ageMs) => { peerAt = Math.max(peerAt, clock.now() - ageMs) },
    ageMs: () => since(Math.max(platformAt, peerAt)),
    peerAgeMs: () => since(peerAt)
  }
}
