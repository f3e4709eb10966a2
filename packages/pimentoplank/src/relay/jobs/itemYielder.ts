/** Interrupts items so that other requests get their slots. */
import type { Metrics } from '../../shared'
import { choosePreempted, countExcess } from '../decisions'
import type { PeerView } from '../gossip'
import type { LoadView } from '../load'
import type { ActiveRun } from './activeRun'
import type { ReadyItemFinder } from './readyItems'

export interface ItemYielderOptions {
  /** Id of this instance. */
  self: string
  /** The runs that have not ended yet. */
  running: ReadonlySet<ActiveRun>
  loads: Pick<LoadView, 'getLoad'>
  peers: () => readonly PeerView[]
  computeRank: ReadyItemFinder['computeRank']
  metrics: Metrics
}

export interface ItemYielder {
  /** Interrupts up to `count` items on a target. */
  yieldItems: (targetId: string, count: number) => void
  /** Interrupts items on targets that have more requests than slots. */
  yieldExcessItems: () => void
}

/** Creates the part of the item runner that gives slots up. */
export function createItemYielder (
  { self, running, loads, peers, computeRank, metrics }: ItemYielderOptions
): ItemYielder {
  function yieldItems (targetId: string, count: number): void {
    const candidates = [...running].filter((entry) => entry.target === targetId && !entry.stop.signal.aborted)
    for (const entry of candidates) entry.dueAt = computeRank(entry.ready.owned, entry.ready.progress)
    for (const entry of choosePreempted(candidates, count)) {
      metrics.count('items.yielded')
      entry.stop.abort()
    }
  }

  function yieldExcessItems (): void {
    for (const targetId of new Set([...running].map(({ target }) => target))) {
      const load = loads.getLoad(targetId)
      if (load === undefined || load.live + load.batch <= load.target.slots) continue
      const count = countExcess({
        self,
        slots: load.target.slots,
        live: load.live,
        batch: load.batch,
        holders: [
          { id: self, batch: load.ownBatch },
          ...peers().map(({ report }) => ({
            id: report.instance, batch: report.uses.get(load.key)?.batch ?? 0
          }))
        ]
      })
      if (count > 0) yieldItems(targetId, count)
    }
  }

  return { yieldItems, yieldExcessItems }
}
