/** Which instance grants the slots of a target, and which ones follow when it is lost. */
import { rankByRendezvous } from '../hashing'
import type { Instance, MembershipView, Target } from '../membership'

export interface HomeOrder {
  /** Instances in the order in which they are home of the target. */
  of: (target: Target) => readonly Instance[]
  close: () => void
}

/** Creates the order of homes over the live entry instances that a membership view shows. */
export function createHomeOrder (membership: MembershipView): HomeOrder {
  const known = new Map<string, readonly Instance[]>()
  const stop = membership.onChange(() => known.clear())

  function rank (target: Target): readonly Instance[] {
    const instances = eligibleInstances(target, membership.instances('entry'))
    return rankByRendezvous(target.id, instances, (instance) => instance.id)
  }

  return {
    of: (target) => {
      const ranked = known.get(target.id) ?? rank(target)
      known.set(target.id, ranked)
      return ranked
    },
    close: stop
  }
}

function eligibleInstances (target: Target, instances: readonly Instance[]): readonly Instance[] {
  const inDomain = instances.filter((instance) => instance.failureDomain === target.failureDomain)
  if (inDomain.length > 0) return inDomain
  const inRegion = instances.filter((instance) => instance.region === target.region)
  return inRegion.length > 0 ? inRegion : instances
}
