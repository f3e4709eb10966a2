/** Remembers which software versions the targets of each service have had. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../shared'
import type { Target } from '../model'

export interface VersionTracker {
  /** Records a change of a target; returns true if it has another version than the target of that id before. */
  record: (before: Target | undefined, after: Target | undefined) => boolean
  /** Returns when each version of a service was last registered; infinite while it is. */
  getLastTimes: (service: string) => ReadonlyMap<string, number>
}

const MAX_TARGETS = 10_000
/** Versions that are remembered of one service. */
const MAX_VERSIONS = 100

/** Creates the tracker. */
export function createVersionTracker (clock: Clock): VersionTracker {
  /** Latest version of each target, also of removed ones. */
  const latest = new LRUCache<string, string>({ max: MAX_TARGETS })
  /** Versions of each service with the number of targets that have it, and when the last of them was removed. */
  const services = new Map<string, LRUCache<string, { count: number, removedAt: number }>>()

  function count ({ service, version }: Target, by: 1 | -1): void {
    const versions = services.get(service) ?? new LRUCache({ max: MAX_VERSIONS })
    const entry = versions.get(version)
    versions.set(version, { count: (entry?.count ?? 0) + by, removedAt: clock.now() })
    services.set(service, versions)
  }

  return {
    record: (before, after) => {
      if (after !== undefined) count(after, 1)
      if (before !== undefined) count(before, -1)
      if (after === undefined) return false
      const version = latest.get(after.id)
      latest.set(after.id, after.version)
      return version !== undefined && version !== after.version
    },
    getLastTimes: (service) => new Map([...services.get(service)?.entries() ?? []].map(
      ([version, { count, removedAt }]) => [version, count > 0 ? Infinity : removedAt]
    ))
  }
}
