/**
 * Queue of the requests waiting for one target: weighted fair between accounts. Among accounts within a slack of fair
 * order, the earliest deadline goes first.
 */
import { LRUCache } from 'lru-cache'

/** Idle accounts whose virtual time is remembered, so that an account can't reset it by emptying its queue. */
const REMEMBERED_ACCOUNTS = 4096
/** Grants, at weight 1, by which an earlier deadline may deviate from fair order. */
const DEADLINE_SLACK = 1

export interface QueueItem {
  account: string
  weight: number
  /** On the owner's monotonic clock, in milliseconds. */
  deadlineAt: number
}

export interface FairQueue<Item extends QueueItem> {
  size: () => number
  items: () => Item[]
  add: (item: Item) => void
  /** Removes an item; false when it was not queued. */
  remove: (item: Item) => boolean
  /** Removes and returns the next item. */
  take: () => Item | undefined
  /** Estimates how many queued items will be taken before this one, which need not be queued itself. */
  countAhead: (item: Item) => number
  /** Whether the item's account is above its fair share, so that later arrivals of others may overtake it. */
  isAboveFairShare: (item: Item) => boolean
  /**
   * Returns the item to evict to make room for this one: the last one of the account with the most waiting for its
   * weight; undefined when that is the item's own account, or when it has no item that may be evicted.
   */
  findEvictable: (item: Item, mayEvict: (item: Item) => boolean) => Item | undefined
}

interface AccountQueue<Item> {
  account: string
  weight: number
  /** Virtual time: grants so far divided by the weight, and at least the floor at activation. */
  virtual: number
  /** Sorted by deadline, earliest first. */
  items: Item[]
}

export function createFairQueue<Item extends QueueItem> (): FairQueue<Item> {
  const active = new Map<string, AccountQueue<Item>>()
  const idleVirtualTimes = new LRUCache<string, number>({ max: REMEMBERED_ACCOUNTS })
  /** Lowest virtual time of the active accounts; never decreases. */
  let floor = 0
  let size = 0

  function activate (item: Item): AccountQueue<Item> {
    const virtual = Math.max(floor, idleVirtualTimes.get(item.account) ?? 0)
    const queue = { account: item.account, weight: item.weight, virtual, items: [] }
    active.set(item.account, queue)
    return queue
  }

  function deactivateEmpty (queue: AccountQueue<Item>): void {
    if (queue.items.length > 0) return
    active.delete(queue.account)
    idleVirtualTimes.set(queue.account, queue.virtual)
  }

  function selectQueue (): AccountQueue<Item> | undefined {
    const queues = [...active.values()]
    if (queues.length === 0) return undefined
    floor = Math.max(floor, Math.min(...queues.map((queue) => queue.virtual)))
    const eligible = queues.filter((queue) => queue.virtual <= floor + DEADLINE_SLACK)
    return eligible.reduce((best, queue) => queue.items[0]!.deadlineAt < best.items[0]!.deadlineAt ? queue : best)
  }

  function remove (item: Item): boolean {
    const queue = active.get(item.account)
    const index = queue?.items.indexOf(item) ?? -1
    if (queue === undefined || index < 0) return false
    queue.items.splice(index, 1)
    size -= 1
    deactivateEmpty(queue)
    return true
  }

  return {
    size: () => size,
    items: () => [...active.values()].flatMap((queue) => queue.items),
    add: (item) => {
      const queue = active.get(item.account) ?? activate(item)
      queue.weight = item.weight
      queue.items.splice(findInsertIndex(queue.items, item), 0, item)
      size += 1
    },
    remove,
    take: () => {
      const queue = selectQueue()
      if (queue === undefined) return undefined
      const item = queue.items.shift()!
      queue.virtual += 1 / queue.weight
      size -= 1
      deactivateEmpty(queue)
      return item
    },
    countAhead: (item) => {
      const own = active.get(item.account)
      const ownAhead = own === undefined ? 0 : countInFront(own.items, item)
      const turns = ownAhead + 1
      let ahead = ownAhead
      for (const other of active.values()) {
        if (other.account === item.account) continue
        ahead += Math.min(other.items.length, Math.ceil(turns * other.weight / item.weight))
      }
      return ahead
    },
    isAboveFairShare: (item) => {
      const virtual = active.get(item.account)?.virtual ?? idleVirtualTimes.get(item.account) ?? floor
      return virtual > floor + DEADLINE_SLACK
    },
    findEvictable: (item, mayEvict) => {
      const longest = [...active.values()]
        .reduce((best, queue) => queue.items.length / queue.weight > best.items.length / best.weight ? queue : best)
      const ownSize = (active.get(item.account)?.items.length ?? 0) + 1
      if (ownSize / item.weight >= longest.items.length / longest.weight) return undefined
      return longest.items.findLast(mayEvict)
    }
  }
}

/** Returns the insertion index of a new item: behind those with the same deadline. */
function findInsertIndex (items: readonly QueueItem[], item: QueueItem): number {
  const index = items.findIndex((other) => other.deadlineAt > item.deadlineAt)
  return index < 0 ? items.length : index
}

/** Returns the number of items in front of this one, whether it is queued or would be inserted now. */
function countInFront (items: readonly QueueItem[], item: QueueItem): number {
  const index = items.indexOf(item)
  return index < 0 ? findInsertIndex(items, item) : index
}
