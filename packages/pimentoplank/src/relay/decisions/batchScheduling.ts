/**
 * Batch scheduling: how many items may start now, which ones, and which are preempted.
 *
 * Load pattern: idle capacity lasts for seconds. Between two steps of live traffic batch items fill the free slots,
 * earliest due time first over all instances; at a step up the items that are due last are preempted first. Several
 * services run items, of which one is behind or has lost its targets while the others have free slots.
 */
import { BATCH_ALLOWANCE } from './limitShare'

export interface WaitingItem {
  job: string
  /** Rank of the item: its due time on the monotonic clock, or a later time; see `rankItem`. */
  dueAt: number
  /** Software version of the targets at which the item must go on; undefined for any. */
  version?: string
  /** Ids of targets on which the item must not start. */
  excluded?: ReadonlySet<string>
}

/** Added to the rank of an item that can't finish when due, in milliseconds; longer than jobs usually have. */
const LATE_PENALTY_MS = 60_000

/**
 * Ranks an item by its due time. Under overload, strict earliest-deadline-first order makes all items a little late, so
 * items that can no longer finish in time rank behind all that can.
 *
 * @param leftMs - slot time that the item still needs, in milliseconds
 */
export function rankItem (dueAt: number, leftMs: number, now: number): number {
  return now + leftMs <= dueAt ? dueAt : dueAt + LATE_PENALTY_MS
}

/** Items of other instances that wait for slots. */
export interface RivalItems {
  dueAt: number
  count: number
  /** Software version at which they must go on; undefined for any. */
  version?: string
}

/**
 * Lists the items of other instances that wait for the slots of a service. Those of other services can't use them.
 *
 * @param service - hash of the service
 * @param isOnlyService - true if all items run at that service, so that those that name none wait for it, too
 */
export function listRivals<Items extends { service?: number }> (
  waiting: readonly Items[], service: number, isOnlyService: boolean
): Items[] {
  return waiting.filter((items) => items.service === undefined ? isOnlyService : items.service === service)
}

/** Capacity and load of one target. */
export interface BatchCandidate {
  id: string
  version: string
  slots: number
  live: number
  batch: number
  /** True when it is in the failure domain of this instance. */
  isNear: boolean
  isSuspect: boolean
  /** False when its load is about a second old. */
  isFresh: boolean
  /** True while items that run there get no events. */
  isSilent?: boolean
  /** Items that may start there as probes of a target that refused others; undefined for any number of items. */
  probes?: number
  /** Requests that this instance may send now; infinite unless the target has named a limit. */
  allowance: number
}

export interface BatchScheduleInput<Item extends WaitingItem> {
  targets: readonly BatchCandidate[]
  /** Waiting items of this instance, in any order. */
  own: readonly Item[]
  /** Items of other instances that wait for these targets. */
  others: readonly RivalItems[]
  /** Slots reserved for live requests, summed over all targets. */
  liveReserve: number
}

export interface BatchStart<Item> {
  item: Item
  target: string
}

/** Chooses the items of this instance that start now, and their targets. */
export function chooseStarts<Item extends WaitingItem> (input: BatchScheduleInput<Item>): Array<BatchStart<Item>> {
  const rooms = createRooms(input.targets)
  const budget = rooms.reduce((sum, { count }) => sum + count, 0) - input.liveReserve
  const starts: Array<BatchStart<Item>> = []
  /** Items that may start anywhere; they get their targets after those that can't choose. */
  const flexible: Item[] = []
  for (const item of [...input.own].sort((a, b) => a.dueAt - b.dueAt)) {
    // Items of other instances with an earlier due time have precedence.
    const ahead = countAhead(input.others.filter(({ dueAt }) => dueAt < item.dueAt), input.targets)
    if (budget - starts.length - flexible.length - ahead.all <= 0) break
    if (item.version === undefined && item.excluded === undefined) {
      flexible.push(item)
      continue
    }
    const sameVersion = rooms.filter(({ target }) => item.version === undefined || target.version === item.version)
    const left = sameVersion.reduce((sum, { count }) => sum + count, 0)
    if (item.version !== undefined && left <= (ahead.byVersion.get(item.version) ?? 0)) continue
    const room = findMostRoom(sameVersion, item.excluded)
    if (room === undefined) continue
    room.count -= 1
    starts.push({ item, target: room.target.id })
  }
  for (const item of flexible) {
    const room = findMostRoom(rooms)
    if (room === undefined) break
    room.count -= 1
    starts.push({ item, target: room.target.id })
  }
  return starts
}

/** Counts items of other instances that can start; those of a crowded version don't block the rest. */
function countAhead (
  others: readonly RivalItems[],
  targets: readonly BatchCandidate[]
): { all: number, byVersion: Map<string, number> } {
  const byVersion = new Map<string, number>()
  let all = 0
  for (const { count, version } of others) {
    if (version === undefined) all += count
    else byVersion.set(version, (byVersion.get(version) ?? 0) + count)
  }
  for (const [version, count] of byVersion) {
    all += Math.min(count, countRoom(targets.filter((target) => target.version === version)))
  }
  return { all, byVersion }
}

/** Counts the items that may start at targets now. */
export function countRoom (targets: readonly BatchCandidate[]): number {
  return createRooms(targets).reduce((sum, { count }) => sum + count, 0)
}

function createRooms (targets: readonly BatchCandidate[]): Room[] {
  return targets.filter(({ isSuspect }) => !isSuspect)
    .map((target) => ({ target, count: Math.max(0, countPossibleStarts(target)) }))
}

/** Slots of a target that may have been occupied since its load was last reported. */
const STALE_MARGIN = 2

function countFreeSlots ({ slots, live, batch, isFresh }: BatchCandidate): number {
  return slots - live - batch - (isFresh ? 0 : STALE_MARGIN)
}

/** Each request to a target with a limit uses up its allowance. */
function countPossibleStarts (target: BatchCandidate): number {
  const free = Math.min(countFreeSlots(target), target.probes ?? Infinity)
  if (target.allowance === Infinity) return free
  return target.allowance >= BATCH_ALLOWANCE ? Math.min(1, free) : 0
}

/** Preference for targets in the same failure domain, in free slots; traffic between failure domains costs money. */
const NEAR_PREFERENCE = 2

interface Room {
  target: BatchCandidate
  /** Number of items that may still start there. */
  count: number
}

/** Silent and probed targets come last, as an item that starts there may get no event either. */
function findMostRoom (rooms: readonly Room[], excluded?: ReadonlySet<string>): Room | undefined {
  let best: Room | undefined
  for (const room of rooms) {
    if (room.count <= 0 || excluded?.has(room.target.id) === true) continue
    if (best === undefined || isBetter(room, best)) best = room
  }
  return best
}

function isBetter (room: Room, best: Room): boolean {
  const isInDoubt = isTargetInDoubt(room.target)
  if (isInDoubt !== isTargetInDoubt(best.target)) return !isInDoubt
  return getPreference(room) > getPreference(best)
}

function isTargetInDoubt ({ isSilent, probes }: BatchCandidate): boolean {
  return isSilent === true || probes !== undefined
}

function getPreference ({ target, count }: Room): number {
  return count + (target.isNear ? NEAR_PREFERENCE : 0)
}

export interface RunningItem extends WaitingItem {
  target: string
  /** True once the target has begun to run it; an item still queued there loses no work when preempted. */
  hasStarted: boolean
}

/**
 * Chooses items to preempt at a target: first those still queued there, then those with the latest due time.
 *
 * @param held - items of this instance at the target
 * @param count - number of items to preempt
 */
export function choosePreempted<Item extends RunningItem> (held: readonly Item[], count: number): Item[] {
  return [...held]
    .sort((a, b) => Number(a.hasStarted) - Number(b.hasStarted) || b.dueAt - a.dueAt)
    .slice(0, count)
}

export interface ExcessInput {
  self: string
  slots: number
  live: number
  batch: number
  /** Number of batch items of each instance at the target. */
  holders: ReadonlyArray<{ id: string, batch: number }>
}

/**
 * Computes how many items this instance preempts unasked at a target with more requests than slots. Two instances may
 * have filled the same free slot, or the datagram that asks for preemption was lost. Only the instance with most items
 * there acts at a time.
 */
export function countExcess ({ self, slots, live, batch, holders }: ExcessInput): number {
  const excess = live + batch - slots
  if (excess <= 0 || batch === 0) return 0
  const [first] = [...holders].sort((a, b) => b.batch - a.batch || (a.id < b.id ? -1 : 1))
  return first?.id === self ? Math.min(excess, first.batch) : 0
}
