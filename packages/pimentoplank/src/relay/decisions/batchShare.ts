/**
 * How many batch items may start now, which ones, and which give way.
 *
 * Load pattern: idle capacity lasts seconds. Between two steps of live traffic batch fills what is free, each job in
 * the order in which it is due over all instances; at a step up the items with most time left give way first.
 */

export interface WaitingItem {
  job: string
  /** Rank of the item: when it is due, on the monotonic clock, or later; see `rankItem`. */
  dueAt: number
}

/** What an item that can't be done when due ranks behind, in milliseconds; longer than jobs usually have. */
const LATE_RANK_MS = 60_000

/**
 * Ranks an item by the time when it is due. Where not all fit, serving in that order alone makes all of them a little
 * late; so those that can't be done in time any more come after all that can.
 *
 * @param leftMs - slot time that it still needs, in milliseconds
 */
export function rankItem (dueAt: number, leftMs: number, now: number): number {
  return now + leftMs <= dueAt ? dueAt : dueAt + LATE_RANK_MS
}

export interface BatchCapacity {
  id: string
  slots: number
  live: number
  batch: number
  isNear: boolean
  isSuspect: boolean
  /** False when its load is only known as it was about a second ago. */
  isFresh: boolean
}

export interface BatchShareInput<Item extends WaitingItem> {
  targets: readonly BatchCapacity[]
  /** Items of this instance that wait, in any order. */
  own: readonly Item[]
  /** Items of other instances that wait. */
  others: ReadonlyArray<{ dueAt: number, count: number }>
  /** Slots that stay free for live requests, over all targets. */
  liveReserve: number
}

export interface BatchStart<Item> {
  item: Item
  target: string
}

/** Chooses the items of this instance that start now, and where. */
export function chooseStarts<Item extends WaitingItem> (input: BatchShareInput<Item>): Array<BatchStart<Item>> {
  const free = new Map(input.targets
    .filter((target) => !target.isSuspect)
    .map((target) => [target.id, { near: target.isNear, count: freeSlots(target) }]))
  const total = [...free.values()].reduce((sum, { count }) => sum + Math.max(0, count), 0)
  const allowance = total - input.liveReserve
  const starts: Array<BatchStart<Item>> = []
  if (allowance <= 0) return starts
  for (const item of [...input.own].sort((a, b) => a.dueAt - b.dueAt)) {
    // Items of others that are due earlier come first.
    const ahead = input.others.reduce((sum, { dueAt, count }) => sum + (dueAt < item.dueAt ? count : 0), 0)
    if (allowance - starts.length - ahead <= 0) break
    const target = roomiest(free)
    if (target === undefined) break
    free.get(target)!.count -= 1
    starts.push({ item, target })
  }
  return starts
}

/** Slots of a target that may have been taken since its load was last heard. */
const STALE_MARGIN = 2

function freeSlots ({ slots, live, batch, isFresh }: BatchCapacity): number {
  return slots - live - batch - (isFresh ? 0 : STALE_MARGIN)
}

/** Free slots that a target in the same failure domain may have fewer; bytes between failure domains cost. */
const NEAR_BONUS = 2

function roomiest (free: ReadonlyMap<string, { near: boolean, count: number }>): string | undefined {
  let best: { id: string, room: number } | undefined
  for (const [id, { near, count }] of free) {
    if (count <= 0) continue
    const room = count + (near ? NEAR_BONUS : 0)
    if (best === undefined || room > best.room) best = { id, room }
  }
  return best?.id
}

export interface RunningItem extends WaitingItem {
  target: string
  /** True once the target began to work on it; one that waits there loses nothing. */
  hasStarted: boolean
}

/**
 * Chooses items to take off a target: those that wait there, then those with most time left.
 *
 * @param held - items of this instance at the target
 * @param count - items that have to go
 */
export function chooseYields<Item extends RunningItem> (held: readonly Item[], count: number): Item[] {
  return [...held]
    .sort((a, b) => Number(a.hasStarted) - Number(b.hasStarted) || b.dueAt - a.dueAt)
    .slice(0, count)
}

export interface ReliefInput {
  self: string
  slots: number
  live: number
  batch: number
  /** Batch items of each instance at the target. */
  holders: ReadonlyArray<{ id: string, batch: number }>
}

/**
 * How many items this instance takes off a target that has more requests than slots, without being asked: two instances
 * may have taken the same free slot, or a datagram was lost. One holder acts at a time, the one with most items there.
 */
export function chooseRelief ({ self, slots, live, batch, holders }: ReliefInput): number {
  const excess = live + batch - slots
  if (excess <= 0 || batch === 0) return 0
  const [first] = [...holders].sort((a, b) => b.batch - a.batch || (a.id < b.id ? -1 : 1))
  return first?.id === self ? Math.min(excess, first.batch) : 0
}
