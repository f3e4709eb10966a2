/**
 * Determines which instance owns the slots of a target, and which ones take over when it fails, by rendezvous hashing.
 * An owner is called a home in the protocol and in setting names.
 */
import { rankByRendezvous } from '../hashing'
import type { Instance, MembershipView, Target } from '../membership'

export interface OwnerOrder {
  /** Returns the instances in the order in which they take ownership of the target; the first one is its owner. */
  getOwners: (target: Target) => readonly Instance[]
  close: () => void
}

/**
 * Creates the order over the live entry instances of a membership view. Those in the target's failure domain qualify,
 * else those in its region, else all.
 */
export function createOwnerOrder (membership: MembershipView): OwnerOrder {
  const cache = new Map<string, readonly Instance[]>()
  const unsubscribe = membership.onChange(() => cache.clear())

  function rank (target: Target): readonly Instance[] {
    const instances = findEligibleInstances(target, membership.instances('entry'))
    return rankByRendezvous(target.id, instances, (instance) => instance.id)
  }

  return {
    getOwners: (target) => {
      const ranked = cache.get(target.id) ?? rank(target)
      cache.set(target.id, ranked)
      return ranked
    },
    close: unsubscribe
  }
}

function findEligibleInstances (target: Target, instances: readonly Instance[]): readonly Instance[] {
  const inDomain = instances.filter((instance) => instance.failureDomain === target.failureDomain)
  if (inDomain.length > 0) return inDomain
  const inRegion = instances.filter((instance) => instance.region === target.region)
  return inRegion.length > 0 ? inRegion : instances
}
