/** Failure detection for chunk owners, with a bounded number of lease reads. */
import {
  createLeaseObserver, OBJECT_KINDS, parseLease, type ChunkOwner, type Clock, type LeaseRecord, type PlatformClient
} from '../shared'

/** Leases that one runner reads per poll. */
const MAX_LEASES_PER_POLL = 4

export interface OwnerLeaseMonitorOptions {
  platform: PlatformClient
  clock: Clock
  random: () => number
}

export interface OwnerLeaseMonitor {
  /** Requests monitoring of an owner's lease; dropped unless requested again before each further poll. */
  track: (owner: ChunkOwner) => void
  /** True when the owner's lease was released, acquired by another process or has expired. */
  hasLostLease: (owner: ChunkOwner) => boolean
  /** Reads the tracked leases and replaces those that are no longer requested. */
  pollLeases: () => Promise<void>
}

interface TrackedLease {
  /** Undefined until the first read. */
  record?: LeaseRecord
  /** True when requested since the last poll. */
  isRequested: boolean
}

/** Creates the owner lease monitor of a runner. */
export function createOwnerLeaseMonitor ({ platform, clock, random }: OwnerLeaseMonitorOptions): OwnerLeaseMonitor {
  const observer = createLeaseObserver({ clock })
  const leases = new Map<string, TrackedLease>()
  const requested = new Set<string>()

  function trackOwner ({ lease }: ChunkOwner): void {
    requested.add(lease)
    const tracked = leases.get(lease)
    if (tracked !== undefined) tracked.isRequested = true
    else if (leases.size < MAX_LEASES_PER_POLL) leases.set(lease, { isRequested: true })
  }

  function hasOwnerLostLease ({ lease, leaseEpoch, lengthMs }: ChunkOwner): boolean {
    const record = leases.get(lease)?.record
    if (record === undefined || record.epoch < leaseEpoch) return observer.hasExpired(lease, lengthMs)
    if (record.epoch > leaseEpoch || record.holder === '') return true
    return observer.hasExpired(lease, Math.max(lengthMs, record.lengthMs))
  }

  async function pollTrackedLeases (): Promise<void> {
    for (const [lease, tracked] of [...leases]) {
      if (!tracked.isRequested) {
        leases.delete(lease)
        continue
      }
      tracked.isRequested = false
      const read = await platform.get(OBJECT_KINDS.lease, lease)
      if (read.isErr()) continue
      observer.observe(lease, read.value?.revision ?? null)
      tracked.record = parseLease(read.value)
    }
    // With more owners than one runner may poll, a random choice lets the runners cover all of them between them.
    const waiting = [...requested].filter((lease) => !leases.has(lease)).sort(() => random() - 0.5)
    for (const lease of waiting.slice(0, MAX_LEASES_PER_POLL - leases.size)) leases.set(lease, { isRequested: true })
    requested.clear()
  }

  return { track: trackOwner, hasLostLease: hasOwnerLostLease, pollLeases: pollTrackedLeases }
}
