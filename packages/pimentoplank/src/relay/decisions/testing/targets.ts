/** Simulated targets, which admit requests in order of arrival, and the delayed views that instances have of them. */

/** One attempt of a caller. */
export interface SimulatedRequest {
  /** When it arrived. */
  at: number
  isReturning: boolean
  /** Time until the caller's deadline at this attempt, in milliseconds. */
  deadlineMs: number
  instance: number
}

export interface SimulatedWork {
  isLive: boolean
  /** Undefined for a batch item. */
  live?: SimulatedRequest
  instance: number
  runMs: number
  /** When it got its slot; undefined while it is queued. */
  startedAt?: number
  job?: string
  dueAt: number
}

export interface SimulatedTarget {
  id: string
  queue: SimulatedWork[]
  running: SimulatedWork[]
}

interface Change {
  at: number
  instance: number
  target: string
  isLive: boolean
  by: number
}

/** Load of a target as seen by one instance. */
export interface TargetView {
  live: number
  batch: number
  ownLive: number
  ownBatch: number
}

/** History of the load of each target, long enough for the delayed views of all instances. */
export interface LoadHistory {
  /** Adds a change. */
  record: (change: Change) => void
  /** Computes the view of an instance: its own load is current, that of the others is delayed. */
  view: (instance: number, target: string, now: number) => TargetView
  /** Counts the batch items of another instance as the viewer sees them. */
  countBatch: (viewer: number, instance: number, target: string, now: number) => number
  /** Merges changes that every instance has seen, so that views stay cheap. */
  compact: (now: number) => void
  /** Forgets everything. */
  clear: () => void
}

/** Changes older than this many view delays are merged. */
const KEPT_DELAYS = 4

/** @param viewAgeMs - delay with which an instance sees the load of the others, in milliseconds */
export function createLoadHistory (viewAgeMs: number): LoadHistory {
  let changes: Change[] = []

  function isSeen (change: Change, viewer: number, now: number): boolean {
    return change.instance === viewer || change.at <= now - viewAgeMs
  }

  return {
    record: (change) => { changes.push(change) },
    view: (instance, target, now) => {
      const view: TargetView = { live: 0, batch: 0, ownLive: 0, ownBatch: 0 }
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
    countBatch: (viewer, instance, target, now) => changes
      .filter((change) => change.target === target && change.instance === instance && !change.isLive)
      .filter((change) => isSeen(change, viewer, now))
      .reduce((sum, { by }) => sum + by, 0),
    clear: () => { changes = [] },
    compact: (now) => {
      const sums = new Map<string, Change>()
      const rest: Change[] = []
      for (const change of changes) {
        if (change.at > now - KEPT_DELAYS * viewAgeMs) {
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
