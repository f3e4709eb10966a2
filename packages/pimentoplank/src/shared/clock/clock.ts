/** Time as an option, so that tests can control it. */

export interface Clock {
  /** Milliseconds on a monotonic clock; comparable only within this process. */
  now: () => number
  /** Wall clock time in milliseconds since the epoch; for display and for expiry that people read. */
  wallTime: () => number
  /**
   * Resolves after a delay, or early when the signal aborts.
   *
   * @param ms - delay in milliseconds
   * @param signal - ends the wait early without an error
   */
  sleep: (ms: number, signal?: AbortSignal) => Promise<void>
}

/** Creates the clock of the operating system. */
export function createSystemClock (): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    sleep: async (ms, signal) => {
      if (signal?.aborted === true) return
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer)
          signal?.removeEventListener('abort', wake)
          resolve()
        }
        const timer = setTimeout(wake, ms)
        signal?.addEventListener('abort', wake)
      })
    }
  }
}
