/** Sums what peers report of each target, with each report that comes, so that a reader needs no walk over peers. */
import type { PeerView, Report, TargetUse } from '../gossip'

export interface PeerUses {
  /** Replaces an earlier report of a peer by its next one. */
  replace: (before: Report | undefined, after: Report | undefined) => void
  /** Requests of all peers at a target. */
  usesOf: (key: number) => TargetUse
  /** True when a peer left the target out a short while ago. */
  isSuspect: (key: number) => boolean
  /** Calls the listener when a peer begins to leave a target out. */
  onSuspect: (listener: (key: number) => void) => void
}

const NO_USE: TargetUse = { live: 0, batch: 0 }

/** Creates the sums, of the peers heard so far. */
export function createPeerUses (heard: readonly PeerView[]): PeerUses {
  const uses = new Map<number, TargetUse>()
  const suspects = new Map<number, number>()
  const listeners: Array<(key: number) => void> = []

  function addUses (report: Report, sign: 1 | -1): void {
    for (const [key, { live, batch }] of report.uses) {
      const sum = uses.get(key) ?? NO_USE
      const next = { live: sum.live + sign * live, batch: sum.batch + sign * batch }
      if (next.live === 0 && next.batch === 0) uses.delete(key)
      else uses.set(key, next)
    }
  }

  function addSuspects (report: Report, sign: 1 | -1): void {
    for (const key of report.suspects) {
      const count = (suspects.get(key) ?? 0) + sign
      if (count === 0) suspects.delete(key)
      else suspects.set(key, count)
    }
  }

  function replace (before: Report | undefined, after: Report | undefined): void {
    if (before !== undefined) {
      addUses(before, -1)
      addSuspects(before, -1)
    }
    if (after === undefined) return
    addUses(after, 1)
    addSuspects(after, 1)
    for (const key of after.suspects) {
      if (before?.suspects.has(key) !== true) listeners.forEach((listener) => listener(key))
    }
  }

  for (const { report } of heard) replace(undefined, report)

  return {
    replace,
    usesOf: (key) => uses.get(key) ?? NO_USE,
    isSuspect: (key) => suspects.has(key),
    onSuspect: (listener) => { listeners.push(listener) }
  }
}
