/** Finds the items of owned jobs that are ready to run. */
import { hash32, type Clock, type Random } from '../../shared'
import { rankItem, type WaitingItem } from '../decisions'
import type { WaitingItems } from '../gossip'
import type { CrashTracker } from '../live'
import type { Route } from '../model'
import { pickService, type RouteTable } from '../routing'
import type { ItemTimeEstimator } from './itemTimeEstimator'
import type { JobRegistry } from './jobRegistry'
import type { ItemProgress, OwnedJob } from './ownedJob'

export interface ReadyItem extends WaitingItem {
  owned: OwnedJob
  itemId: string
  progress: ItemProgress
  service: string
  route: Route
}

export interface ReadyItemOptions {
  jobRegistry: JobRegistry
  crashes: Pick<CrashTracker, 'hasCrashingParts'>
  /** True while items of the job may start. */
  mayStart: (job: OwnedJob) => boolean
  pace: ItemTimeEstimator
  clock: Clock
  random: Random
}

export interface ReadyItemFinder {
  /** Lists the items that may start. */
  find: (table: RouteTable) => ReadyItem[]
  /** Computes the rank of an item by its due time. */
  computeRank: (owned: OwnedJob, progress: ItemProgress) => number
}

export function createReadyItemFinder (options: ReadyItemOptions): ReadyItemFinder {
  const { jobRegistry: registry, pace, clock, random } = options

  function computeRank (owned: OwnedJob, progress: ItemProgress): number {
    return rankItem(owned.dueAt, pace.estimateRemainingMs(progress.lastEventId ?? 0), clock.now())
  }

  function findReadyItems (table: RouteTable): ReadyItem[] {
    const now = clock.now()
    const ready: ReadyItem[] = []
    for (const owned of registry.owned()) {
      if (!options.mayStart(owned)) continue
      for (const [itemId, progress] of owned.openItems()) {
        if (progress.target !== undefined || progress.notBefore > now) continue
        const item = owned.findItem(itemId)
        const route = table.findRoute(owned.record().host, item?.path ?? '')
        const service = route === undefined ? undefined : chooseService(route, progress, random())
        if (item === undefined || route === undefined || service === undefined) continue
        if (options.crashes.hasCrashingParts(item.headers)) continue
        ready.push({
          job: owned.id,
          dueAt: computeRank(owned, progress),
          version: findNeededVersion(progress),
          owned,
          itemId,
          progress,
          service,
          route
        })
      }
    }
    return ready
  }

  return { find: findReadyItems, computeRank }
}

/** An item with text stays at its service, which may be one of several on the route. */
function chooseService (route: Route, { lastEventId, service }: ItemProgress, fraction: number): string | undefined {
  const isNamed = route.services.some((one) => one.service === service && one.weight > 0)
  return lastEventId !== undefined && isNamed ? service : pickService(route, fraction)
}

/** Returns the software version at which an item must go on; undefined for an item without text. */
export function findNeededVersion ({ lastEventId, version }: ItemProgress): string | undefined {
  return lastEventId === undefined ? undefined : version
}

/** Due times are rounded up to this step in gossip reports, in milliseconds, so that a report stays small. */
const DUE_STEP_MS = 1000
/** Maximum number of due times and versions of one service in a report. */
const MAX_SERVICE_STEPS = 12
/** Maximum number of due times and versions in one report. */
const MAX_DUE_STEPS = 24

/**
 * Counts ready items by due time, version and service, for gossip reports.
 *
 * @param isOnlyService - true if all items run at one service, which is not named then
 */
export function summarizeReadyItems (ready: readonly ReadyItem[], isOnlyService: boolean): WaitingItems[] {
  const groups = new Map<string, WaitingItems>()
  for (const { dueAt, version, service } of ready) {
    const step = Math.ceil(dueAt / DUE_STEP_MS)
    const key = `${step} ${service} ${version ?? ''}`
    const group = groups.get(key) ?? {
      dueAt: step * DUE_STEP_MS,
      count: 0,
      version: version === undefined ? undefined : hash32(version),
      service: isOnlyService ? undefined : hash32(service)
    }
    group.count += 1
    groups.set(key, group)
  }
  return takeEarliest([...groups.values()].sort((a, b) => a.dueAt - b.dueAt))
}

/** Takes the first groups of each service, so that those of one that is behind don't hide the others. */
function takeEarliest (groups: readonly WaitingItems[]): WaitingItems[] {
  const services = new Set(groups.map(({ service }) => service))
  const most = Math.min(MAX_SERVICE_STEPS, Math.max(1, Math.floor(MAX_DUE_STEPS / services.size)))
  const taken = new Map<number | undefined, number>()
  return groups.filter(({ service }) => {
    const count = (taken.get(service) ?? 0) + 1
    taken.set(service, count)
    return count <= most
  }).slice(0, MAX_DUE_STEPS)
}
