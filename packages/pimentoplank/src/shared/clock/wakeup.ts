/** Interruptible wait for loops that sleep until there is work. */
import type { Clock } from './clock'

export interface Wakeup {
  /** Resolves after the delay in milliseconds, or at the next `wake`. */
  wait: (ms: number) => Promise<void>
  wake: () => void
}

/** Creates a wakeup; a `wake` between two waits makes the next one resolve immediately. */
export function createWakeup (clock: Clock): Wakeup {
  let controller = new AbortController()

  async function wait (ms: number): Promise<void> {
    await clock.sleep(ms, controller.signal)
    if (controller.signal.aborted) controller = new AbortController()
  }

  return { wait, wake: () => controller.abort() }
}
