/** Wakes all tasks that wait for the next change. */

export interface Notifier {
  /** Wakes all tasks that wait at this moment. */
  notify: () => void
  /** Resolves at the next call of `notify`, or when the signal aborts. */
  next: (signal?: AbortSignal) => Promise<void>
}

/** Creates a notifier. */
export function createNotifier (): Notifier {
  let waiting = new Set<() => void>()

  return {
    notify: () => {
      const woken = waiting
      waiting = new Set()
      for (const wake of woken) wake()
    },
    next: async (signal) => {
      if (signal?.aborted === true) return
      await new Promise<void>((resolve) => {
        function wake (): void {
          waiting.delete(wake)
          signal?.removeEventListener('abort', wake)
          resolve()
        }
        waiting.add(wake)
        signal?.addEventListener('abort', wake)
      })
    }
  }
}
