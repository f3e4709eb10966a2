/** Keeps as many items in hand as the runner's parallelism allows, over all held chunks. */
import { createWakeup, type Clock } from '../shared'
import type { HeldChunk } from './heldChunk'
import type { ItemTask } from './runItem'

/** Longest sleep while nothing is ready, in milliseconds. */
const MAX_IDLE_MS = 1000
const MIN_IDLE_MS = 5

export interface DispatcherOptions {
  clock: Clock
  parallelism: number
  /** Held chunks, oldest first. */
  chunks: () => Iterable<HeldChunk>
}

export interface Dispatcher {
  /** Looks at once for items to run. */
  wake: () => void
  /** Items that could be tried now, those of models without a free slot left out. */
  readyItems: () => number
  /** Starts no more items; resolves when the loop has ended. */
  stop: () => Promise<void>
}

interface Taken {
  chunk: HeldChunk
  task: ItemTask
}

/** Starts the loop that hands items to the task of each. */
export function createDispatcher ({ clock, parallelism, chunks }: DispatcherOptions): Dispatcher {
  const wakeup = createWakeup(clock)
  const running = new Set<ItemTask>()
  /** Time until which no slot is asked for, by model. */
  const parkedUntil = new Map<string, number>()
  // One model without free slots must not keep every hand waiting.
  const maxWaiting = Math.max(1, Math.ceil(parallelism / 2))
  const stopped = new AbortController()

  function isParked (model: string): boolean {
    return (parkedUntil.get(model) ?? 0) > clock.now()
  }

  function mayStart (task: ItemTask): boolean {
    if (task.isSuspect && [...running].some((other) => other.isSuspect)) return false
    const model = modelOf(task)
    if (isParked(model)) return false
    const waiting = [...running].filter((other) => other.isWaiting && modelOf(other) === model)
    return waiting.length < maxWaiting
  }

  function take (): Taken | undefined {
    if (stopped.signal.aborted || running.size >= parallelism) return undefined
    for (const chunk of chunks()) {
      const task = chunk.take(mayStart)
      if (task !== undefined) return { chunk, task }
    }
    return undefined
  }

  async function run ({ chunk, task }: Taken): Promise<void> {
    running.add(task)
    const outcome = await chunk.work(task)
    running.delete(task)
    if (outcome.type === 'parked') parkedUntil.set(modelOf(task), task.notBefore)
    else parkedUntil.delete(modelOf(task))
    wakeup.wake()
  }

  function untilNext (): number {
    const times = [...chunks()].map((chunk) => chunk.nextAt()).concat([...parkedUntil.values()])
    const waits = times.map((at) => (at ?? Infinity) - clock.now()).filter((ms) => ms > 0)
    return Math.max(MIN_IDLE_MS, Math.min(MAX_IDLE_MS, ...waits))
  }

  async function dispatch (): Promise<void> {
    while (!stopped.signal.aborted) {
      const taken = take()
      if (taken === undefined) await wakeup.wait(untilNext())
      else run(taken)
    }
  }

  const ended = dispatch()
  return {
    wake: wakeup.wake,
    readyItems: () => [...chunks()].reduce((sum, chunk) => sum + chunk.readyItems(isParked), 0),
    stop: async () => {
      stopped.abort()
      wakeup.wake()
      await ended
    }
  }
}

function modelOf ({ item }: ItemTask): string {
  return String(item.body.model)
}
