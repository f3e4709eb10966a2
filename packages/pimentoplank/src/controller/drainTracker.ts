/** Tracks model versions that receive no new work, until they can be unloaded. */
import type { Clock } from '../shared'
import type { EngineModel } from './engineControl'
import { getVersionKey } from './plan'

export interface DrainTrackerOptions {
  clock: Clock
  /** Time until every instance has learned of a drain, in milliseconds. */
  spreadMs: number
  /** Longest wait for running requests after that, in milliseconds. */
  maxMs: number
}

export interface DrainTracker {
  /** Sets the versions that are draining now; drops all others. */
  update: (keys: ReadonlySet<string>) => void
  /** Returns the targets whose load decides whether a draining version can be unloaded. */
  getWaitingTargets: () => string[]
  /** Records how many requests run or wait on a target. */
  recordLoad: (targetId: string, requests: number) => void
  /** True when every instance has learned of the drain, and the target is idle or the longest wait is over. */
  isDrained: (targetId: string, model: EngineModel) => boolean
}

/** Creates an empty tracker. A controller that takes over starts with a new one. */
export function createDrainTracker ({ clock, spreadMs, maxMs }: DrainTrackerOptions): DrainTracker {
  const startedAtByKey = new Map<string, number>()
  const idleTargets = new Set<string>()

  function isKnownEverywhere (key: string): boolean {
    const startedAt = startedAtByKey.get(key)
    return startedAt !== undefined && clock.now() - startedAt >= spreadMs
  }

  return {
    update: (keys) => {
      idleTargets.clear()
      for (const key of startedAtByKey.keys()) {
        if (!keys.has(key)) startedAtByKey.delete(key)
      }
      for (const key of keys) {
        if (!startedAtByKey.has(key)) startedAtByKey.set(key, clock.now())
      }
    },
    getWaitingTargets: () => [
      ...new Set([...startedAtByKey.keys()].filter(isKnownEverywhere).map((key) => key.split('/')[0]!))
    ],
    recordLoad: (targetId, requests) => {
      if (requests === 0) idleTargets.add(targetId)
      else idleTargets.delete(targetId)
    },
    isDrained: (targetId, model) => {
      const key = getVersionKey(targetId, model)
      if (!isKnownEverywhere(key)) return false
      return idleTargets.has(targetId) || clock.now() - startedAtByKey.get(key)! >= spreadMs + maxMs
    }
  }
}
