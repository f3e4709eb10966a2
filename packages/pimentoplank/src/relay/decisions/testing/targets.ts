/** Targets of a replay: they admit in order of arrival and run a number of requests at a time. */

export interface Work {
  isLive: boolean
  instance: number
  runMs: number
  /** Set once it has a slot. */
  startedAt?: number
  job?: string
  dueAt: number
}

export interface ReplayTarget {
  id: string
  queue: Work[]
  running: Work[]
}

interface Change {
  at: number
  instance: number
  target: string
  isLive: boolean
  by: number
}

/** What an instance believes is at a target. */
export interface ReplayView {
  live: number
  batch: number
  ownLive: number
  ownBatch: number
}

/** Who works where, with the past that slow views still show. */
export interface UseLog {
  note: (change: Change) => void
  /** The view of an instance: its own work as it is, that of others as it was a little earlier. */
  view: (instance: number, target: string, now: number) => ReplayView
  /** Batch items of another instance, as one instance sees them. */
  batchOf: (viewer: number, instance: number, target: string, now: number) => number
  /** Folds what every instance has seen, so that views stay cheap. */
  compact: (now: number) => void
}

/** Changes older than this many view ages are folded. */
const KEPT_AGES = 4

/** Creates the log of a replay. */
export function createUseLog (viewAgeMs: number): UseLog {
  let changes: Change[] = []

  function isSeen (change: Change, viewer: number, now: number): boolean {
    return change.instance === viewer || change.at <= now - viewAgeMs
  }

  return {
    note: (change) => { changes.push(change) },
    view: (instance, target, now) => {
      const view: ReplayView = { live: 0, batch: 0, ownLive: 0, ownBatch: 0 }
      for (const change of changes) {
        if (change.target !== target || !isSeen(change, instance, now)) continue
        if (change.isLive) view.live += change.by
        else view.batch += change.by
        if (change.instance !== instance) continue
        if (change.isLive) view.ownLive += change.by
        else view.ownBatch += change.by
      }
      return view
    },
    batchOf: (viewer, instance, target, now) => changes
      .filter((change) => change.target === target && change.instance === instance && !change.isLive)
      .filter((change) => isSeen(change, viewer, now))
      .reduce((sum, { by }) => sum + by, 0),
    compact: (now) => {
      const sums = new Map<string, Change>()
      const rest: Change[] = []
      for (const change of changes) {
        if (change.at > now - KEPT_AGES * viewAgeMs) {
          rest.push(change)
          continue
        }
        const key = `${change.instance} ${change.target} ${change.isLive}`
        const sum = sums.get(key)
        if (sum === undefined) sums.set(key, { ...change })
        else sum.by += change.by
      }
      changes = [...[...sums.values()].filter(({ by }) => by !== 0), ...rest]
    }
  }
}
