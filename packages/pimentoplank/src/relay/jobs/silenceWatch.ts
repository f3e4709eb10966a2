/** Watches one run of an item for silence of its target. */
import type { Clock } from '../../shared'

export interface SilenceWatchOptions {
  /** Time without an event after which the target counts as silent, in milliseconds. */
  silentMs: number
  /** Time without an event after which the connection counts as dead, in milliseconds. */
  deadMs: number
  onSilent: () => void
  /** Called when a silent target goes on. */
  onResumed: () => void
  onDead: () => void
  clock: Clock
}

export interface SilenceWatch {
  /** Records an event, or the head of the answer. */
  recordProgress: () => void
  stop: () => void
}

/** Starts the watch; the time until the head of the answer counts, too. */
export function startSilenceWatch (options: SilenceWatchOptions): SilenceWatch {
  const { silentMs, deadMs, clock } = options
  const stopped = new AbortController()
  let sleeping = new AbortController()
  let lastAt = clock.now()
  let isSilent = false

  async function watch (): Promise<void> {
    while (!stopped.signal.aborted) {
      const quietMs = clock.now() - lastAt
      if (quietMs >= deadMs) {
        options.onDead()
        return
      }
      if (quietMs >= silentMs && !isSilent) {
        isSilent = true
        options.onSilent()
      }
      sleeping = new AbortController()
      const nextMs = isSilent ? deadMs : Math.min(silentMs, deadMs)
      await clock.sleep(nextMs - quietMs, AbortSignal.any([stopped.signal, sleeping.signal]))
    }
  }

  watch().catch(() => options.onDead())

  return {
    recordProgress: () => {
      lastAt = clock.now()
      if (!isSilent) return
      isSilent = false
      sleeping.abort()
      options.onResumed()
    },
    stop: () => stopped.abort()
  }
}
