/** Tracks how long ago the platform last responded, directly or as reported by a peer. */
import type { Clock } from '../clock'

export interface Freshness {
  /** Records a response of the platform to this instance. */
  recordPlatformResponse: () => void
  /** Records a peer's report that the platform responded the given number of milliseconds ago. */
  recordPeerReport: (ageMs: number) => void
  /** Milliseconds since the last known response, direct or through a peer; `MAX_AGE_MS` before the first. */
  ageMs: () => number
  /** Milliseconds since the last response that a peer reported; `MAX_AGE_MS` before the first. */
  peerAgeMs: () => number
}

/** Largest age that is sent to peers: the maximum of a signed 32-bit integer. */
export const MAX_AGE_MS = 0x7fffffff

/** Creates the tracker of an instance; its age starts at the maximum. */
export function createFreshness (clock: Clock): Freshness {
  let platformResponseAt = -MAX_AGE_MS
  let peerReportAt = -MAX_AGE_MS

  function getAge (at: number): number {
    return Math.min(MAX_AGE_MS, Math.max(0, Math.round(clock.now() - at)))
  }

  return {
    recordPlatformResponse: () => { platformResponseAt = clock.now() },
    recordPeerReport: (ageMs) => { peerReportAt = Math.max(peerReportAt, clock.now() - ageMs) },
    ageMs: () => getAge(Math.max(platformResponseAt, peerReportAt)),
    peerAgeMs: () => getAge(peerReportAt)
  }
}
