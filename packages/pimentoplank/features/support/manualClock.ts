/** A clock that advances only when a test advances it. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import type { Clock } from '../../src/shared'

export interface ManualClock extends Clock {
  /** Advances the time and resolves the sleeps that are due, in order. */
  advance: (ms: number) => Promise<void>
  /** Advances the time in one step, as seen by a process that was frozen. */
  jump: (ms: number) => Promise<void>
  /** Advances the wall clock only, as seen by a process whose machine was suspended. */
  shiftWallTime: (ms: number) => void
}

/** Turns of the event loop given to work that a resolved sleep continues. */
const SETTLE_TURNS = 5

interface Sleeper {
  dueAt: number
  wake: () => void
}

/** Creates a clock that starts at 0. */
export function createManualClock (): ManualClock {
  let time = 0
  let wallTimeShift = 0
  const sleepers = new Set<Sleeper>()

  async function sleep (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>((resolve) => {
      const sleeper: Sleeper = {
        dueAt: time + ms,
        wake: () => {
          sleepers.delete(sleeper)
          signal?.removeEventListener('abort', sleeper.wake)
          resolve()
        }
      }
      sleepers.add(sleeper)
      signal?.addEventListener('abort', sleeper.wake)
    })
  }

  async function advance (ms: number): Promise<void> {
    const until = time + ms
    for (;;) {
      const [next] = [...sleepers].filter((sleeper) => sleeper.dueAt <= until).sort((a, b) => a.dueAt - b.dueAt)
      if (next === undefined) break
      time = Math.max(time, next.dueAt)
      next.wake()
      await settle()
    }
    time = until
    await settle()
  }

  async function jump (ms: number): Promise<void> {
    time += ms
    await advance(0)
  }

  return {
    now: () => time,
    wallTime: () => time + wallTimeShift,
    sleep,
    advance,
    jump,
    shiftWallTime: (ms) => { wallTimeShift += ms }
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) await nextTurn()
}
