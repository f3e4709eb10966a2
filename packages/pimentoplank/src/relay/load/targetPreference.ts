/**
 * Subsetting: chooses the targets that this instance tries first. In a large fleet the load of other instances is known
 * with a delay of tens of milliseconds; instances that prefer different targets collide less and reuse connections.
 */
import { rankByRendezvous, type Clock } from '../../shared'
import type { Gossip } from '../gossip'
import type { Target } from '../model'

export interface TargetPreferenceOptions {
  self: { id: string, failureDomain: string }
  gossip: Pick<Gossip, 'peers' | 'isClose' | 'isLargeFleet'>
  /** Number of instances that prefer each target. */
  preferringInstances: number
  clock: Clock
}

/** Time for which a choice is cached, in milliseconds; fleet membership changes less often. */
const CACHE_MS = 1000

/**
 * Creates a predicate that is true for preferred targets. It is always false in a small fleet, and for targets of other
 * failure domains.
 */
export function createTargetPreference (
  { self, gossip, preferringInstances, clock }: TargetPreferenceOptions
): (target: Target) => boolean {
  const preferred = new Map<string, boolean>()
  let chosenAt = -Infinity
  let candidates: string[] = []

  function refresh (): void {
    chosenAt = clock.now()
    preferred.clear()
    const close = gossip.peers()
      .filter(({ report }) => gossip.isClose(report.failureDomain) && report.stage === 'serving')
    candidates = [self.id, ...close.map(({ report }) => report.instance)]
  }

  return (target) => {
    if (!gossip.isLargeFleet() || target.failureDomain !== self.failureDomain) return false
    if (clock.now() - chosenAt > CACHE_MS) refresh()
    let isPreferred = preferred.get(target.id)
    if (isPreferred === undefined) {
      isPreferred = rankByRendezvous(target.id, candidates, (id) => id).slice(0, preferringInstances).includes(self.id)
      preferred.set(target.id, isPreferred)
    }
    return isPreferred
  }
}
