/** Tells lapsed leases by the observer's own monotonic clock; no clocks of two processes are compared. */
import type { Clock } from '../clock'
import type { LeaseObserver } from './types'

interface Sighting {
  /** Null when the lease object was gone. */
  revision: number | null
  /** When this revision was first seen here. */
  firstSeenAt: number
  /** When this revision was last confirmed by a read. */
  lastSeenAt: number
}

export interface LeaseObserverOptions {
  clock: Clock
}

/**
 * Creates an observer. A lease counts as lapsed when two reads, at least its length apart, found the same revision;
 * time that passed without a read proves nothing, since the observer itself may have been paused.
 */
export function createLeaseObserver ({ clock }: LeaseObserverOptions): LeaseObserver {
  const sightings = new Map<string, Sighting>()

  function observe (name: string, revision: number | null): void {
    const now = clock.now()
    const seen = sightings.get(name)
    if (seen !== undefined && seen.revision === revision) {
      seen.lastSeenAt = now
      return
    }
    sightings.set(name, { revision, firstSeenAt: now, lastSeenAt: now })
  }

  function hasLapsed (name: string, lengthMs: number): boolean {
    const seen = sightings.get(name)
    if (seen === undefined) return false
    return seen.revision === null || seen.lastSeenAt - seen.firstSeenAt >= lengthMs
  }

  return { observe, hasLapsed }
}
