/** Detects expired leases by the observer's monotonic clock alone; clocks of two processes are never compared. */
import type { Clock } from '../clock'
import type { LeaseObserver } from './types'

interface Observation {
  /** Null when the lease object did not exist. */
  revision: number | null
  /** When this observer first read the revision. */
  firstSeenAt: number
  /** When a read last returned the revision. */
  lastSeenAt: number
}

export interface LeaseObserverOptions {
  clock: Clock
}

/**
 * Creates an observer. A lease has expired when two reads at least its length apart returned the same revision. Time
 * without a read proves nothing, since the observer itself may have been paused.
 */
export function createLeaseObserver ({ clock }: LeaseObserverOptions): LeaseObserver {
  const observations = new Map<string, Observation>()

  function observe (name: string, revision: number | null): void {
    const now = clock.now()
    const known = observations.get(name)
    if (known !== undefined && known.revision === revision) {
      known.lastSeenAt = now
      return
    }
    observations.set(name, { revision, firstSeenAt: now, lastSeenAt: now })
  }

  function isExpired (name: string, lengthMs: number): boolean {
    const known = observations.get(name)
    if (known === undefined) return false
    return known.revision === null || known.lastSeenAt - known.firstSeenAt >= lengthMs
  }

  return { observe, hasExpired: isExpired }
}
