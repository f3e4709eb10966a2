/** Injectable clock, so that tests can control time. */

export interface Clock {
  /** Returns monotonic time in milliseconds; comparable only within this process. */
  now: () => number
  /** Returns wall-clock time in milliseconds since the Unix epoch; for display and for expiry times shown to people. */
  wallTime: () => number
  /**
   * Resolves after a delay, or early when the signal aborts.
   *
   * @param ms - delay in milliseconds
   * @param signal - ends the delay early, without an error
   */
  sleep: (ms: number, signal?: AbortSignal) => Promise<void>
}

/** Creates a clock that uses the system time. */
export function createSystemClock (): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    sleep: async (ms, signal) => {
      if (signal?.aborted === true) return
      const sleepers = signal === undefined ? undefined : getSleepers(signal)
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer)
          sleepers?.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, ms)
        sleepers?.add(wake)
      })
    }
  }
}

/** What sleeps until a signal aborts. All of it shares one listener, as Node warns of signals with many listeners. */
const sleepersBySignal = new WeakMap<AbortSignal, Set<() => void>>()

function getSleepers (signal: AbortSignal): Set<() => void> {
  const known = sleepersBySignal.get(signal)
  if (known !== undefined) return known
  const sleepers = new Set<() => void>()
  sleepersBySignal.set(signal, sleepers)
  signal.addEventListener('abort', () => [...sleepers].forEach((wake) => wake()), { once: true })
  return sleepers
}
