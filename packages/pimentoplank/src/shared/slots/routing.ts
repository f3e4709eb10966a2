/** Ways to choose the targets that a request asks for a slot, in the order of asking. */
import { rankByRendezvous } from '../hashing'
import type { Target } from '../membership'
import type { LoadTable } from './loadTable'
import type { RoutingWay, SlotClientSettings } from './settings'
import type { SlotRequest } from './types'

/** Targets of the own failure domain above this load share send work to the region. */
const SPILL_SHARE = 1

export interface RoutingContext {
  req: SlotRequest
  /** Where this process stands. */
  failureDomain: string
  region: string
  /** Targets that may be asked. */
  targets: readonly Target[]
  loads: LoadTable
  settings: SlotClientSettings
  /** A number from 0 up to 1. */
  random: () => number
}

/** How a way of routing orders the targets. */
export interface RoutingOrder {
  /** Targets in the order of asking. */
  targets: Target[]
  /** Targets asked at once; further ones follow when these queue or refuse. */
  atOnce: number
  /** Tickets that may wait at the same time. */
  maxOpen: number
}

export interface RoutingPlan extends RoutingOrder {
  /** True when so many targets are ejected that ejection is void. */
  ignoreEjection: boolean
}

/** Orders by way of routing. */
const ROUTING: Record<RoutingWay, (context: RoutingContext) => RoutingOrder> = {
  random: (context) => ({ targets: shuffle(context.targets, context.random), atOnce: 1, maxOpen: 1 }),
  twoChoices: (context) => ({ targets: byTwoChoices(context), atOnce: 1, maxOpen: 1 }),
  localShares: (context) => ({ targets: byTwoChoices(context), atOnce: 1, maxOpen: 1 }),
  homes: (context) => ({ targets: byAffinity(context), atOnce: 1, maxOpen: 2 }),
  homesAtOnce: (context) => ({ targets: byAffinity(context), atOnce: 2, maxOpen: 2 })
}

/**
 * Plans which targets a request asks: without excluded and ejected ones, the preferred one first, then the nearest
 * by the way of routing, then those further away.
 */
export function planRoute (context: RoutingContext): RoutingPlan {
  const { req, loads, settings } = context
  const allowed = context.targets.filter((target) => !req.excluded.includes(target.id))
  const working = allowed.filter((target) => !loads.isEjected(target.id))
  const ignoreEjection = allowed.length - working.length > allowed.length * settings.maxEjectedShare
  const usable = ignoreEjection ? allowed : working
  const near = nearestTargets(usable, context)
  const order = ROUTING[settings.routing]({ ...context, targets: near })
  const far = usable.filter((target) => !near.includes(target))
  return { ...order, ignoreEjection, targets: preferTarget([...order.targets, ...far], req.preferred) }
}

/** Moves the preferred target to the front. */
function preferTarget (targets: readonly Target[], preferred: string | undefined): Target[] {
  const first = targets.filter((target) => target.id === preferred)
  const others = targets.filter((target) => target.id !== preferred)
  return [...first, ...others]
}

/** The nearest targets that are not all overloaded: of the own failure domain, else of the region, else all. */
function nearestTargets (targets: readonly Target[], context: RoutingContext): readonly Target[] {
  const isInRegion = (target: Target): boolean => target.region === context.region
  const hasRoom = (target: Target): boolean => context.loads.share(target.id) < SPILL_SHARE
  // Batch work gains nothing by being near, and a failure domain without a runner must not stay idle.
  if (context.req.workClass === 'batch') return orAll(targets.filter(isInRegion), targets)
  const inDomain = targets.filter((target) => target.failureDomain === context.failureDomain)
  if (inDomain.some(hasRoom)) return inDomain
  const inRegion = targets.filter(isInRegion)
  if (inRegion.some(hasRoom)) return inRegion
  return targets
}

function orAll (chosen: readonly Target[], all: readonly Target[]): readonly Target[] {
  return chosen.length > 0 ? chosen : all
}

/** The order of two choices: the better of each random pair first. */
function byTwoChoices ({ targets, loads, random }: RoutingContext): Target[] {
  const shuffled = shuffle(targets, random)
  const [first, second] = shuffled
  if (first === undefined || second === undefined) return shuffled
  if (loads.share(second.id) < loads.share(first.id)) return [second, first, ...shuffled.slice(2)]
  return shuffled
}

/**
 * A target that most likely has the prompt's start cached first, and the better of two others after it. A prefix that
 * overloads its first target goes to the next ones in a fixed order, so that few targets cache it.
 */
function byAffinity (context: RoutingContext): Target[] {
  const { req, targets, loads, settings } = context
  if (req.prefixHash === 0n || settings.affinityTargets === 0) return byTwoChoices(context)
  const ranked = rankByRendezvous(`${req.model ?? ''}/${req.prefixHash}`, targets, (target) => target.id)
  const affine = ranked
    .slice(0, settings.affinityTargets)
    .find((target) => loads.share(target.id) < settings.overloadedShare)
  if (affine === undefined) return byTwoChoices(context)
  const others = targets.filter((target) => target !== affine)
  return [affine, ...byTwoChoices({ ...context, targets: others })]
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
