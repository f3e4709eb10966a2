/** A batch job that this instance works on: what is finished, what is stored, what runs. */
import type { ItemResult, JobItem, JobRecord } from './records'
import type { StoredJob } from './jobStore'

/** Where an item stands before it has a result. */
export interface ItemProgress {
  /** Id of the last event that the text holds; undefined for none. */
  lastEventId?: number
  /** Data of the events so far. */
  data: string[]
  /** Answers that say the run failed. */
  failures: number
  /** Earliest time of the next run, on the monotonic clock. */
  notBefore: number
  /** Target that runs it now. */
  target?: string
  /** Ends the run that goes on now, to be taken up later. */
  interrupt?: () => void
}

export interface OwnedJob {
  id: string
  record: () => JobRecord
  revision: () => number
  setStored: (stored: StoredJob) => void
  /** True once its caller ended it, as far as this instance has heard by any way. */
  isEnded: () => boolean
  markEnded: () => void
  /** When results are due, on the monotonic clock. */
  dueAt: number
  /** When items may be given up, on the monotonic clock. */
  giveUpAt: number
  item: (id: string) => JobItem | undefined
  /** Items without a result, with their progress. */
  open: () => ReadonlyMap<string, ItemProgress>
  finish: (result: ItemResult) => void
  /** Results that are stored, in the order of their positions. */
  stored: () => readonly ItemResult[]
  /** Segments that are stored. */
  segments: () => number
  /** Results that wait to be stored. */
  pending: () => readonly ItemResult[]
  /** Since when results wait to be stored, on the monotonic clock. */
  pendingSince: () => number | undefined
  /** Takes in the segment that now stands at the end; drops whatever it made needless. */
  appendSegment: (results: readonly ItemResult[]) => void
  /** Tokens of the items without a result. */
  openTokens: () => number
  isComplete: () => boolean
  /** Resolves after the next change of stored results, or after a time. */
  changed: (ms: number) => Promise<void>
}

export interface OwnedJobOptions {
  id: string
  stored: StoredJob
  items: readonly JobItem[]
  /** Segments that are stored already. */
  segments?: ReadonlyArray<readonly ItemResult[]>
  dueAt: number
  giveUpAt: number
  now: () => number
}

/** Creates the state of a job. */
export function createOwnedJob (options: OwnedJobOptions): OwnedJob {
  const { id, now } = options
  const items = new Map(options.items.map((item) => [item.id, item]))
  const open = new Map<string, ItemProgress>(options.items.map((item) => [item.id, newProgress()]))
  const stored: ItemResult[] = []
  let pending: ItemResult[] = []
  let pendingSince: number | undefined
  let segments = 0
  let current = options.stored
  let isMarkedEnded = false
  let waiters: Array<() => void> = []

  function appendSegment (results: readonly ItemResult[]): void {
    segments += 1
    stored.push(...results)
    const named = new Set(results.map(({ item }) => item))
    pending = pending.filter(({ item }) => !named.has(item))
    if (pending.length === 0) pendingSince = undefined
    for (const item of named) {
      open.get(item)?.interrupt?.()
      open.delete(item)
    }
    const woken = waiters
    waiters = []
    woken.forEach((wake) => wake())
  }

  options.segments?.forEach(appendSegment)

  return {
    id,
    record: () => current.record,
    revision: () => current.revision,
    setStored: (next) => { current = next },
    isEnded: () => isMarkedEnded || current.record.ended,
    markEnded: () => { isMarkedEnded = true },
    dueAt: options.dueAt,
    giveUpAt: options.giveUpAt,
    item: (name) => items.get(name),
    open: () => open,
    finish: (result) => {
      if (!open.delete(result.item)) return
      pending.push(result)
      pendingSince ??= now()
    },
    stored: () => stored,
    segments: () => segments,
    pending: () => pending,
    pendingSince: () => pendingSince,
    appendSegment,
    openTokens: () => [...open.keys()].reduce((sum, name) => sum + (items.get(name)?.tokens ?? 0), 0),
    isComplete: () => open.size === 0 && pending.length === 0,
    changed: async (ms) => {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, ms)
        waiters.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    }
  }
}

function newProgress (): ItemProgress {
  return { data: [], failures: 0, notBefore: 0 }
}
