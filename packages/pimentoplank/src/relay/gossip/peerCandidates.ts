/** Addresses of possible peers from which nothing has been received yet. */
import type { Clock } from '../../shared'

export interface PeerCandidates {
  add: (address: string) => void
  remove: (address: string) => void
  count: () => number
  /** Returns the addresses that are due for another attempt, and records the attempt. */
  takeDue: () => string[]
  /** Removes addresses that have not answered within the retention period. */
  prune: () => void
}

export interface PeerCandidatesOptions {
  /** This instance's own address, which is never a candidate. */
  self: string
  /** Addresses that are never removed by pruning. */
  seeds: readonly string[]
  /** Maximum number of candidates; any others are ignored until some have been removed. */
  maxCandidates: number
  clock: Clock
}

interface Candidate {
  addedAt: number
  attemptedAt: number
}

/** Interval between attempts to reach a candidate, in milliseconds. */
const ATTEMPT_INTERVAL_MS = 500
/** Retention period of a candidate that does not answer, in milliseconds. */
const RETENTION_MS = 30_000

/** Creates the list of candidates, which starts with the seeds. */
export function createPeerCandidates ({ self, seeds, maxCandidates, clock }: PeerCandidatesOptions): PeerCandidates {
  const candidates = new Map<string, Candidate>()

  function add (address: string): void {
    if (address === self || candidates.has(address) || candidates.size >= maxCandidates) return
    candidates.set(address, { addedAt: clock.now(), attemptedAt: -Infinity })
  }

  seeds.forEach(add)

  return {
    add,
    remove: (address) => { candidates.delete(address) },
    count: () => candidates.size,
    takeDue: () => {
      const now = clock.now()
      const addresses: string[] = []
      for (const [address, candidate] of candidates) {
        if (now - candidate.attemptedAt < ATTEMPT_INTERVAL_MS) continue
        candidate.attemptedAt = now
        addresses.push(address)
      }
      return addresses
    },
    prune: () => {
      const oldestAddedAt = clock.now() - RETENTION_MS
      for (const [address, candidate] of candidates) {
        if (candidate.addedAt < oldestAddedAt && !seeds.includes(address)) candidates.delete(address)
      }
    }
  }
}
