/** Waiting requests of one target: fair between accounts by weight, earliest deadline first within fairness. */
import { LRUCache } from 'lru-cache'

/** Accounts whose last share is remembered after their queue has emptied. */
const REMEMBERED_ACCOUNTS = 4096
/** Grants, at weight 1, by which an earlier deadline may run ahead of fairness. */
const DEADLINE_SLACK = 1

export interface QueueItem {
  account: string
  weight: number
  /** On the monotonic clock of the home, in milliseconds. */
  deadlineAt: number
}

export interface FairQueue<Item extends QueueItem> {
  size: () => number
  items: () => Item[]
  add: (item: Item) => void
  /** Takes an item out; false when it was not waiting. */
  remove: (item: Item) => boolean
  /** Takes the item that is next. */
  take: () => Item | undefined
  /** Items that will be taken before this one, waiting or not. */
  aheadOf: (item: Item) => number
  /** True when the account has had more than its share, so that newcomers will go before it. */
  isOvertaken: (item: Item) => boolean
  /** The item to give up when this one needs its place; undefined when its own account has the most waiting. */
  victimFor: (item: Item) => Item | undefined
}

interface AccountQueue<Item> {
  account: string
  weight: number
  /** Virtual time: grants so far, divided by the weight. */
  virtual: number
  /** By deadline, earliest first. */
  items: Item[]
}

/** Creates an empty queue. */
export function createFairQueue<Item extends QueueItem> (): FairQueue<Item> {
  const active = new Map<string, AccountQueue<Item>>()
  const idleVirtual = new LRUCache<string, number>({ max: REMEMBERED_ACCOUNTS })
  let floor = 0
  let size = 0

  function activate (item: Item): AccountQueue<Item> {
    const virtual = Math.max(floor, idleVirtual.get(item.account) ?? 0)
    const queue = { account: item.account, weight: item.weight, virtual, items: [] }
    active.set(item.account, queue)
    return queue
  }

  function deactivateEmpty (queue: AccountQueue<Item>): void {
    if (queue.items.length > 0) return
    active.delete(queue.account)
    idleVirtual.set(queue.account, queue.virtual)
  }

  function nextQueue (): AccountQueue<Item> | undefined {
    const queues = [...active.values()]
    if (queues.length === 0) return undefined
    floor = Math.max(floor, Math.min(...queues.map((queue) => queue.virtual)))
    const fair = queues.filter((queue) => queue.virtual <= floor + DEADLINE_SLACK)
    return fair.reduce((best, queue) => queue.items[0]!.deadlineAt < best.items[0]!.deadlineAt ? queue : best)
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
      queue.items.splice(placeOf(queue.items, item), 0, item)
      size += 1
    },
    remove,
    take: () => {
      const queue = nextQueue()
      if (queue === undefined) return undefined
      const item = queue.items.shift()!
      queue.virtual += 1 / queue.weight
      size -= 1
      deactivateEmpty(queue)
      return item
    },
    aheadOf: (item) => {
      const own = active.get(item.account)
      const ownAhead = own === undefined ? 0 : placeBefore(own.items, item)
      const turns = ownAhead + 1
      let ahead = ownAhead
      for (const other of active.values()) {
        if (other.account === item.account) continue
        ahead += Math.min(other.items.length, Math.ceil(turns * other.weight / item.weight))
      }
      return ahead
    },
    isOvertaken: (item) => {
      const virtual = active.get(item.account)?.virtual ?? idleVirtual.get(item.account) ?? floor
      return virtual > floor + DEADLINE_SLACK
    },
    victimFor: (item) => {
      const heaviest = [...active.values()]
        .reduce((best, queue) => queue.items.length / queue.weight > best.items.length / best.weight ? queue : best)
      const own = (active.get(item.account)?.items.length ?? 0) + 1
      if (own / item.weight >= heaviest.items.length / heaviest.weight) return undefined
      return heaviest.items.at(-1)
    }
  }
}

/** Index at which a new item joins: after those with the same deadline. */
function placeOf (items: readonly QueueItem[], item: QueueItem): number {
  const index = items.findIndex((other) => other.deadlineAt > item.deadlineAt)
  return index < 0 ? items.length : index
}

/** Items before this one, whether it waits already or would join now. */
function placeBefore (items: readonly QueueItem[], item: QueueItem): number {
  const index = items.indexOf(item)
  return index < 0 ? placeOf(items, item) : index
}
