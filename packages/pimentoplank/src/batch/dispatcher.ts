/** Dispatches items of all claimed chunks, up to the runner's parallelism. */
import { createWakeup, type Clock } from '../shared'
import type { ActiveChunk } from './activeChunk'
import type { ItemTask } from './itemTask'

/** Bounds of the sleep while no item is ready, in milliseconds. */
const MAX_IDLE_MS = 1000
const MIN_IDLE_MS = 5

export interface DispatcherOptions {
  clock: Clock
  parallelism: number
  /** Claimed chunks, oldest first. */
  chunks: () => Iterable<ActiveChunk>
}

export interface Dispatcher {
  /** Checks for ready items without waiting for the next timer. */
  wake: () => void
  /** Counts the items that are ready now, except those of models without a free slot. */
  countReadyItems: () => number
  /** Stops dispatching; resolves when the loop has ended. Running items are not interrupted. */
  stop: () => Promise<void>
}

interface Assignment {
  chunk: ActiveChunk
  task: ItemTask
}

/** Starts the dispatch loop. */
export function createDispatcher ({ clock, parallelism, chunks }: DispatcherOptions): Dispatcher {
  const wakeup = createWakeup(clock)
  const running = new Set<ItemTask>()
  /** Time until which no slot is requested, by model. */
  const parkedUntil = new Map<string, number>()
  // A model without free slots must not occupy the whole parallelism with waiting items.
  const maxWaitingPerModel = Math.max(1, Math.ceil(parallelism / 2))
  const stopped = new AbortController()

  function isParked (model: string): boolean {
    return (parkedUntil.get(model) ?? 0) > clock.now()
  }

  function canStart (task: ItemTask): boolean {
    if (task.isSuspect && [...running].some((other) => other.isSuspect)) return false
    const model = getModelName(task)
    if (isParked(model)) return false
    const waiting = [...running].filter((other) => other.isWaiting && getModelName(other) === model)
    return waiting.length < maxWaitingPerModel
  }

  function dequeueNext (): Assignment | undefined {
    if (stopped.signal.aborted || running.size >= parallelism) return undefined
    for (const chunk of chunks()) {
      const task = chunk.dequeue(canStart)
      if (task !== undefined) return { chunk, task }
    }
    return undefined
  }

  async function runTask ({ chunk, task }: Assignment): Promise<void> {
    running.add(task)
    const outcome = await chunk.run(task)
    running.delete(task)
    if (outcome.type === 'parked') parkedUntil.set(getModelName(task), task.notBefore)
    else parkedUntil.delete(getModelName(task))
    wakeup.wake()
  }

  function computeIdleMs (): number {
    const times = [...chunks()].map((chunk) => chunk.getNextAttemptAt()).concat([...parkedUntil.values()])
    const waits = times.map((at) => (at ?? Infinity) - clock.now()).filter((ms) => ms > 0)
    return Math.max(MIN_IDLE_MS, Math.min(MAX_IDLE_MS, ...waits))
  }

  async function dispatch (): Promise<void> {
    while (!stopped.signal.aborted) {
      const assignment = dequeueNext()
      if (assignment === undefined) await wakeup.wait(computeIdleMs())
      else runTask(assignment)
    }
  }

  const ended = dispatch()
  return {
    wake: wakeup.wake,
    countReadyItems: () => [...chunks()].reduce((sum, chunk) => sum + chunk.countReadyItems(isParked), 0),
    stop: async () => {
      stopped.abort()
      wakeup.wake()
      await ended
    }
  }
}

function getModelName ({ item }: ItemTask): string {
  return String(item.body.model)
}
