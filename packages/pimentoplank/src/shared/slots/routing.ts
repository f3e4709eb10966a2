/** Routing strategies: which targets a request tries for a slot, and in which order. */
import { rankByRendezvous } from '../hashing'
import type { Target } from '../membership'
import type { LoadTable } from './loadTable'
import type { RoutingWay, SlotClientSettings } from './settings'
import type { SlotRequest } from './types'

/** Utilization from which a target is full: work spills over to the region, then beyond, once all local targets are. */
const SPILLOVER_SHARE = 1

export interface RoutingContext {
  req: SlotRequest
  /** Location of this process. */
  failureDomain: string
  region: string
  /** Candidate targets. */
  targets: readonly Target[]
  loads: LoadTable
  settings: SlotClientSettings
  /** Returns a number from 0 to 1, 1 excluded. */
  random: () => number
}

/** Result of a routing strategy. */
export interface RoutingOrder {
  /** Targets in the order in which they are tried. */
  targets: Target[]
  /** Targets tried in parallel; further ones follow when these queue or refuse the request. */
  maxParallel: number
  /** Upper bound of the tickets open at the same time, queued ones included. */
  maxOpenTickets: number
}

export interface RoutingPlan extends RoutingOrder {
  /** True when so many targets are ejected that ejection is ignored. */
  ignoreEjection: boolean
}

const STRATEGIES: Record<RoutingWay, (context: RoutingContext) => RoutingOrder> = {
  random: (context) => ({ targets: shuffle(context.targets, context.random), maxParallel: 1, maxOpenTickets: 1 }),
  twoChoices: (context) => ({ targets: orderByTwoChoices(context), maxParallel: 1, maxOpenTickets: 1 }),
  localShares: (context) => ({ targets: orderByTwoChoices(context), maxParallel: 1, maxOpenTickets: 1 }),
  homes: (context) => ({ targets: orderByAffinity(context), maxParallel: 1, maxOpenTickets: 2 }),
  homesAtOnce: (context) => ({ targets: orderByAffinity(context), maxParallel: 2, maxOpenTickets: 2 })
}

/**
 * Plans the order in which a request tries targets: the preferred one, then the nearest ones in the order of the
 * routing strategy, then the remote ones. Excluded and ejected targets are left out.
 */
export function planRoute (context: RoutingContext): RoutingPlan {
  const { req, loads, settings } = context
  const allowed = context.targets.filter((target) => !req.excluded.includes(target.id))
  const healthy = allowed.filter((target) => !loads.isEjected(target.id))
  const ignoreEjection = allowed.length - healthy.length > allowed.length * settings.maxEjectedShare
  const usable = ignoreEjection ? allowed : healthy
  const local = findNearestTargets(usable, context)
  const order = STRATEGIES[settings.routing]({ ...context, targets: local })
  const remote = usable.filter((target) => !local.includes(target))
  return { ...order, ignoreEjection, targets: preferTarget([...order.targets, ...remote], req.preferred) }
}

/** Moves the preferred target to the front. */
function preferTarget (targets: readonly Target[], preferred: string | undefined): Target[] {
  const first = targets.filter((target) => target.id === preferred)
  const others = targets.filter((target) => target.id !== preferred)
  return [...first, ...others]
}

/** Returns the nearest set of targets that is not full: the local failure domain, else the region, else all. */
function findNearestTargets (targets: readonly Target[], context: RoutingContext): readonly Target[] {
  const isInRegion = (target: Target): boolean => target.region === context.region
  const hasRoom = (target: Target): boolean => context.loads.getLoadShare(target.id) < SPILLOVER_SHARE
  // Batch work gains nothing from locality, and a failure domain without a batch runner must not stay idle.
  if (context.req.workClass === 'batch') return useAllIfEmpty(targets.filter(isInRegion), targets)
  const inDomain = targets.filter((target) => target.failureDomain === context.failureDomain)
  if (inDomain.some(hasRoom)) return inDomain
  const inRegion = targets.filter(isInRegion)
  if (inRegion.some(hasRoom)) return inRegion
  return targets
}

function useAllIfEmpty (chosen: readonly Target[], all: readonly Target[]): readonly Target[] {
  return chosen.length > 0 ? chosen : all
}

/** Power of two choices: shuffles the targets and puts the less loaded of the first two in front. */
function orderByTwoChoices ({ targets, loads, random }: RoutingContext): Target[] {
  const shuffled = shuffle(targets, random)
  const [first, second] = shuffled
  if (first === undefined || second === undefined) return shuffled
  if (loads.getLoadShare(second.id) < loads.getLoadShare(first.id)) return [second, first, ...shuffled.slice(2)]
  return shuffled
}

/**
 * Puts the target that most likely has the prompt prefix cached first, and the others by two choices. A prefix that
 * overloads its first target moves to the next ones in a fixed order, so that few targets cache it.
 */
function orderByAffinity (context: RoutingContext): Target[] {
  const { req, targets, loads, settings } = context
  if (req.prefixHash === 0n || settings.affinityTargets === 0) return orderByTwoChoices(context)
  const ranked = rankByRendezvous(`${req.model ?? ''}/${req.prefixHash}`, targets, (target) => target.id)
  const affine = ranked
    .slice(0, settings.affinityTargets)
    .find((target) => loads.getLoadShare(target.id) < settings.overloadedShare)
  if (affine === undefined) return orderByTwoChoices(context)
  const others = targets.filter((target) => target !== affine)
  return [affine, ...orderByTwoChoices({ ...context, targets: others })]
}

function shuffle (targets: readonly Target[], random: () => number): Target[] {
  const shuffled = [...targets]
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const index = Math.floor(random() * (last + 1))
    const moved = shuffled[index]!
    shuffled[index] = shuffled[last]!
    shuffled[last] = moved
  }
  return shuffled
}
