/** What homes last said about the load of targets, corrected by what this process has done since. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../clock'
import type { TargetLoad } from '../rpc'

const MAX_TARGETS = 8192

export interface LoadTable {
  note: (targetId: string, load: TargetLoad) => void
  /** Counts work of this process that started (1) or ended (-1) since. */
  adjust: (targetId: string, by: 1 | -1) => void
  /** Running and waiting live work as a share of the limit; 0 for an unknown target. */
  share: (targetId: string) => number
  /** True until the next probe of a target that its home has ejected. */
  isEjected: (targetId: string) => boolean
}

interface KnownLoad {
  limit: number
  work: number
  ejectedUntil: number
}

/** Creates an empty table. */
export function createLoadTable (clock: Clock): LoadTable {
  const loads = new LRUCache<string, KnownLoad>({ max: MAX_TARGETS })
  return {
    note: (targetId, load) => {
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
    share: (targetId) => {
      const load = loads.get(targetId)
      return load === undefined ? 0 : load.work / load.limit
    },
    isEjected: (targetId) => (loads.get(targetId)?.ejectedUntil ?? 0) > clock.now()
  }
}
