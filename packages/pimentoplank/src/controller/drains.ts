/** How long model versions have been without new work. */
import type { Clock } from '../shared'
import type { EngineModel } from './engineControl'
import { versionKey } from './plan'

export interface DrainsOptions {
  clock: Clock
  /** Time until every instance knows about a drain, in milliseconds. */
  spreadMs: number
  /** Longest wait for running requests after that, in milliseconds. */
  maxMs: number
}

export interface Drains {
  /** Sets which versions get no new work now; others are forgotten. */
  update: (keys: ReadonlySet<string>) => void
  /** Targets whose load decides about an unload now. */
  waitingTargets: () => string[]
  /** Notes how many requests run or wait on a target. */
  noteLoad: (targetId: string, requests: number) => void
  isDrained: (targetId: string, model: EngineModel) => boolean
}

/** Creates the record of drains; it starts anew with each controller that takes over. */
export function createDrains ({ clock, spreadMs, maxMs }: DrainsOptions): Drains {
  const since = new Map<string, number>()
  const idle = new Set<string>()

  function isSpread (key: string): boolean {
    const startedAt = since.get(key)
    return startedAt !== undefined && clock.now() - startedAt >= spreadMs
  }

  return {
    update: (keys) => {
      idle.clear()
      for (const key of since.keys()) {
        if (!keys.has(key)) since.delete(key)
      }
      for (const key of keys) {
        if (!since.has(key)) since.set(key, clock.now())
      }
    },
    waitingTargets: () => [...new Set([...since.keys()].filter(isSpread).map((key) => key.split('/')[0]!))],
    noteLoad: (targetId, requests) => {
      if (requests === 0) idle.add(targetId)
      else idle.delete(targetId)
    },
    isDrained: (targetId, model) => {
      const key = versionKey(targetId, model)
      if (!isSpread(key)) return false
      return idle.has(targetId) || clock.now() - since.get(key)! >= spreadMs + maxMs
    }
  }
}
