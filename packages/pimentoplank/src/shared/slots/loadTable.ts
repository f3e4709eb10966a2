/** Last reported loads of targets, adjusted by the work that this process has started and ended since. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../clock'
import type { TargetLoad } from '../rpc'

const MAX_TARGETS = 8192

export interface LoadTable {
  /** Stores a load reported by the target's owner. */
  update: (targetId: string, load: TargetLoad) => void
  /** Adjusts the load for work of this process that has started (1) or ended (-1). */
  adjust: (targetId: string, by: 1 | -1) => void
  /** Returns running and waiting live work as a share of the limit; 0 for an unknown target. */
  getLoadShare: (targetId: string) => number
  /** Whether the target's owner has ejected it and its next probe is not due yet. */
  isEjected: (targetId: string) => boolean
}

interface LoadEntry {
  limit: number
  work: number
  ejectedUntil: number
}

export function createLoadTable (clock: Clock): LoadTable {
  const loads = new LRUCache<string, LoadEntry>({ max: MAX_TARGETS })
  return {
    update: (targetId, load) => {
      loads.set(targetId, {
        limit: Math.max(1, load.limit),
        work: load.inUse + load.waiting,
        ejectedUntil: load.ejectedMs === 0 ? 0 : clock.now() + load.ejectedMs
      })
    },
    adjust: (targetId, by) => {
      const load = loads.get(targetId)
      if (load !== undefined) load.work = Math.max(0, load.work + by)
    },
    getLoadShare: (targetId) => {
      const load = loads.get(targetId)
      return load === undefined ? 0 : load.work / load.limit
    },
    isEjected: (targetId) => (loads.get(targetId)?.ejectedUntil ?? 0) > clock.now()
  }
}
