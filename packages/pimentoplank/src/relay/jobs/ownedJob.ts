/** In-memory state of a batch job that this instance owns: finished, stored and running items. */
import type { OpenEnds } from '../decisions'
import type { ItemResult, JobItem, JobRecord } from './records'
import type { StoredJob } from './jobStore'
import type { JobTimes } from './jobTimes'

/** Progress of an item that has no result yet. */
export interface ItemProgress extends OpenEnds {
  /** Id of the last event in `data`; undefined before the first. */
  lastEventId?: number
  /** Data of the events received so far. */
  data: string[]
  /** Software version of the target that wrote `data`. */
  version?: string
  /** Service of that target. */
  service?: string
  /** Since when targets of other versions have had room for the waiting item, on the monotonic clock. */
  blockedSince?: number
  /** Number of answers that reported a failed run. */
  failures: number
  /** Number of runs in a row that broke off before their answer had begun. */
  crashes: number
  /** Number of runs in a row that were given up because their target was silent. */
  silences: number
  /** Number of answers in a row that told nothing when what follows the last event was asked for. */
  restRefusals: number
  /** Earliest time of the next run, on the monotonic clock. */
  notBefore: number
  /** Target that is running the item. */
  target?: string
  /** Aborts the current run; the item resumes later. */
  interrupt?: () => void
}

/** An item whose body may have been dropped from memory, as the platform keeps it, too. */
export type OwnedItem = Omit<JobItem, 'body'> & { body: string | undefined }

export interface OwnedJob {
  id: string
  record: () => JobRecord
  revision: () => number
  setStored: (next: StoredJob) => void
  /** Time at which the record was certainly current, on the monotonic clock in milliseconds. */
  confirmedAt: () => number
  /** Records that the record was current at a time on the monotonic clock. */
  confirm: (at: number) => void
  /** True once the caller has ended the job, as known from the record, an RPC or gossip. */
  isEnded: () => boolean
  markEnded: () => void
  /** When results are due, on the monotonic clock. */
  readonly dueAt: number
  /** When items without a result expire, on the monotonic clock; infinite while the route is not known. */
  readonly expiresAt: number
  findItem: (id: string) => OwnedItem | undefined
  /** Length of the bodies of items that are in memory, in characters. */
  countBodyChars: () => number
  /** Length of the texts of stored results, in characters. */
  countResultChars: () => number
  /** Drops the bodies of all items from memory. */
  dropBodies: () => void
  /** Items without a result, with their progress. */
  openItems: () => ReadonlyMap<string, ItemProgress>
  finishItem: (result: ItemResult) => void
  /** Stored results in order of position. */
  storedResults: () => readonly ItemResult[]
  /** Number of stored segments. */
  segmentCount: () => number
  /** Results not yet stored. */
  pendingResults: () => readonly ItemResult[]
  /** When the oldest result not yet stored was added, on the monotonic clock. */
  pendingSince: () => number | undefined
  /** Appends a stored segment; drops pending results of its items and interrupts their runs. */
  appendSegment: (results: readonly ItemResult[]) => void
  /** Total tokens of the items without a result. */
  countOpenTokens: () => number
  isComplete: () => boolean
  /** Resolves after the next change of stored results, or after `ms` milliseconds. */
  waitForChange: (ms: number) => Promise<void>
}

export interface OwnedJobOptions {
  id: string
  stored: StoredJob
  items: readonly JobItem[]
  /** Segments stored before, in order. */
  segments?: ReadonlyArray<readonly ItemResult[]>
  getTimes: () => JobTimes
  now: () => number
}

/** Creates the state of an owned job. */
export function createOwnedJob (options: OwnedJobOptions): OwnedJob {
  const { id, now } = options
  const items = new Map<string, OwnedItem>(options.items.map((item) => [item.id, item]))
  let bodyChars = options.items.reduce((sum, { body }) => sum + body.length, 0)
  const open = new Map<string, ItemProgress>(options.items.map((item) => [item.id, newProgress()]))
  const stored: ItemResult[] = []
  let resultChars = 0
  let pending: ItemResult[] = []
  let pendingSince: number | undefined
  let segments = 0
  let current = options.stored
  let confirmedAt = current.asOf
  let isMarkedEnded = false
  const waiters = new Set<() => void>()

  function appendSegment (results: readonly ItemResult[]): void {
    segments += 1
    stored.push(...results)
    resultChars += results.reduce((sum, { text }) => sum + text.length, 0)
    const storedItems = new Set(results.map(({ item }) => item))
    pending = pending.filter(({ item }) => !storedItems.has(item))
    if (pending.length === 0) pendingSince = undefined
    for (const item of storedItems) {
      open.get(item)?.interrupt?.()
      open.delete(item)
    }
    const notified = [...waiters]
    waiters.clear()
    notified.forEach((notify) => notify())
  }

  options.segments?.forEach(appendSegment)

  return {
    id,
    record: () => current.record,
    revision: () => current.revision,
    setStored: (next) => {
      current = next
      confirmedAt = Math.max(confirmedAt, next.asOf)
    },
    confirmedAt: () => confirmedAt,
    confirm: (at) => { confirmedAt = Math.max(confirmedAt, at) },
    isEnded: () => isMarkedEnded || current.record.ended,
    markEnded: () => { isMarkedEnded = true },
    get dueAt () { return options.getTimes().dueAt },
    get expiresAt () { return options.getTimes().expiresAt },
    findItem: (name) => items.get(name),
    countBodyChars: () => bodyChars,
    countResultChars: () => resultChars,
    dropBodies: () => {
      bodyChars = 0
      for (const [name, item] of items) items.set(name, { ...item, body: undefined })
    },
    openItems: () => open,
    finishItem: (result) => {
      if (!open.delete(result.item)) return
      pending.push(result)
      pendingSince ??= now()
    },
    storedResults: () => stored,
    segmentCount: () => segments,
    pendingResults: () => pending,
    pendingSince: () => pendingSince,
    appendSegment,
    countOpenTokens: () => [...open.keys()].reduce((sum, name) => sum + (items.get(name)?.tokens ?? 0), 0),
    isComplete: () => open.size === 0 && pending.length === 0,
    waitForChange: async (ms) => {
      await new Promise<void>((resolve) => {
        const notify = (): void => {
          clearTimeout(timer)
          waiters.delete(notify)
          resolve()
        }
        const timer = setTimeout(notify, ms)
        waiters.add(notify)
      })
    }
  }
}

function newProgress (): ItemProgress {
  return { ...createEmptyText(), failures: 0, crashes: 0, silences: 0, notBefore: 0 }
}

/** Creates the progress of an item that begins anew, with nothing known of the end of its text. */
export function createEmptyText () {
  return {
    lastEventId: undefined,
    data: [],
    version: undefined,
    service: undefined,
    blockedSince: undefined,
    openEnds: 0,
    emptyAt: undefined,
    restRefusals: 0
  } satisfies Partial<ItemProgress>
}
