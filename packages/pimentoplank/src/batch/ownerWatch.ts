/** Finds out which holders of chunks are gone, with a bounded number of reads. */
import {
  createLeaseObserver, OBJECT_KINDS, parseLease, type ChunkOwner, type Clock, type LeaseRecord, type PlatformClient
} from '../shared'

/** Leases that one runner reads in one round. */
const LEASES_PER_ROUND = 4

export interface OwnerWatchOptions {
  platform: PlatformClient
  clock: Clock
  random: () => number
}

export interface OwnerWatch {
  /** Asks for a holder to be watched, as long as it is noted between two rounds. */
  note: (owner: ChunkOwner) => void
  /** True when the holder's lease was given up, went to another process or has lapsed. */
  isGone: (owner: ChunkOwner) => boolean
  /** Reads the leases of some noted holders. */
  readRound: () => Promise<void>
}

interface WatchedLease {
  /** Undefined until the first read. */
  record?: LeaseRecord
  isNoted: boolean
}

/** Creates the watch of one runner. */
export function createOwnerWatch ({ platform, clock, random }: OwnerWatchOptions): OwnerWatch {
  const observer = createLeaseObserver({ clock })
  const watched = new Map<string, WatchedLease>()
  const noted = new Set<string>()

  function note ({ lease }: ChunkOwner): void {
    noted.add(lease)
    const known = watched.get(lease)
    if (known !== undefined) known.isNoted = true
    else if (watched.size < LEASES_PER_ROUND) watched.set(lease, { isNoted: true })
  }

  function isGone ({ lease, leaseEpoch, lengthMs }: ChunkOwner): boolean {
    const record = watched.get(lease)?.record
    if (record === undefined || record.epoch < leaseEpoch) return observer.hasLapsed(lease, lengthMs)
    if (record.epoch > leaseEpoch || record.holder === '') return true
    return observer.hasLapsed(lease, Math.max(lengthMs, record.lengthMs))
  }

  async function readRound (): Promise<void> {
    for (const [lease, known] of [...watched]) {
      if (!known.isNoted) {
        watched.delete(lease)
        continue
      }
      known.isNoted = false
      const read = await platform.get(OBJECT_KINDS.lease, lease)
      if (read.isErr()) continue
      observer.observe(lease, read.value?.revision ?? null)
      known.record = parseLease(read.value)
    }
    // Runners with many holders to watch each take other ones, so that every holder is watched by some.
    const waiting = [...noted].filter((lease) => !watched.has(lease)).sort(() => random() - 0.5)
    for (const lease of waiting.slice(0, LEASES_PER_ROUND - watched.size)) watched.set(lease, { isNoted: true })
    noted.clear()
  }

  return { note, isGone, readRound }
}
