/**
 * Which targets this instance tries first. In a large fleet the view of each other's load is some ten milliseconds old;
 * instances that try different targets first collide less, and find their connections there still open.
 */
import { rankByRendezvous, type Clock } from '../../shared'
import type { Gossip } from '../gossip'
import type { Target } from '../model'

export interface PreferenceOptions {
  self: { id: string, failureDomain: string }
  gossip: Pick<Gossip, 'peers' | 'isClose' | 'isLargeFleet'>
  /** Instances that try a target first. */
  preferring: number
  clock: Clock
}

/** How long a choice is kept, in milliseconds; peers come and go more seldom. */
const KEEP_MS = 1000

/** Creates the choice; false for every target where the fleet is small. */
export function createPreference ({ self, gossip, preferring, clock }: PreferenceOptions): (target: Target) => boolean {
  const preferred = new Map<string, boolean>()
  let chosenAt = -Infinity
  let candidates: string[] = []

  function renew (): void {
    chosenAt = clock.now()
    preferred.clear()
    const close = gossip.peers().filter(({ report }) => gossip.isClose(report.failureDomain) && report.stage === 'serving')
    candidates = [self.id, ...close.map(({ report }) => report.instance)]
  }

  return (target) => {
    if (!gossip.isLargeFleet() || target.failureDomain !== self.failureDomain) return false
    if (clock.now() - chosenAt > KEEP_MS) renew()
    let isPreferred = preferred.get(target.id)
    if (isPreferred === undefined) {
      isPreferred = rankByRendezvous(target.id, candidates, (id) => id).slice(0, preferring).includes(self.id)
      preferred.set(target.id, isPreferred)
    }
    return isPreferred
  }
}
