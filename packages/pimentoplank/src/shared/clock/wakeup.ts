/** Lets a loop sleep until there is something to do. */
import type { Clock } from './clock'

export interface Wakeup {
  /** Resolves after the delay, or at the next `wake`. */
  wait: (ms: number) => Promise<void>
  wake: () => void
}

/** Creates a wakeup; a `wake` between two waits ends the next one at once. */
export function createWakeup (clock: Clock): Wakeup {
  let controller = new AbortController()

  async function wait (ms: number): Promise<void> {
    await clock.sleep(ms, controller.signal)
    if (controller.signal.aborted) controller = new AbortController()
  }

  return { wait, wake: () => controller.abort() }
}
