/** Finds items that can't run any more, since the configuration has dropped their route. */
import type { Clock, Log } from '../../shared'
import type { RouteTable } from '../routing'
import type { OwnedJob } from './ownedJob'

export interface UnroutedItemsOptions {
  table: () => RouteTable | undefined
  clock: Clock
  log: Log
}

export interface UnroutedItems {
  /** Returns the items of a job that don't run and have had no route for some time; those that run may end. */
  find: (job: OwnedJob) => string[]
}

/** Time after which a route that was dropped is taken for gone, in milliseconds; a next configuration may name it. */
const DROPPED_MS = 5000

/** Creates the finder of an instance. */
export function createUnroutedItems ({ table, clock, log }: UnroutedItemsOptions): UnroutedItems {
  /** Since when jobs have been found without their route. */
  const since = new WeakMap<OwnedJob, number>()

  function find (job: OwnedJob): string[] {
    const routes = table()
    if (routes === undefined || job.isEnded()) return []
    const { route, host } = job.record()
    if (routes.findRouteByName(route) !== undefined) {
      since.delete(job)
      return []
    }
    const droppedAt = since.get(job) ?? clock.now()
    since.set(job, droppedAt)
    if (clock.now() - droppedAt < DROPPED_MS) return []
    const items = [...job.openItems()].filter(([id, { target }]) => (
      target === undefined && routes.findRoute(host, job.findItem(id)?.path ?? '') === undefined
    )).map(([id]) => id)
    if (items.length > 0) log.warn({ job: job.id, route, items: items.length }, 'items given up: their route was dropped')
    return items
  }

  return { find }
}
