/** Tells when an instance can place requests: once it knows a configuration and the targets. */
import type { Clock } from '../shared'

export interface StartState {
  /** Records that a configuration is in force. */
  recordConfig: () => void
  /** Records that the targets were read. */
  recordTargets: () => void
  isStarted: () => boolean
  /** Resolves when the instance can place requests, or when it has tried to start for too long. */
  whenStarted: Promise<void>
}

/**
 * Creates the state of an instance that has just started.
 *
 * @param maxWaitMs - time after which `whenStarted` resolves in any case, in milliseconds
 */
export function createStartState (clock: Clock, maxWaitMs: number, signal: AbortSignal): StartState {
  let hasConfig = false
  let hasTargets = false
  let end: () => void
  const whenStarted = new Promise<void>((resolve) => { end = resolve })
  clock.sleep(maxWaitMs, signal).then(() => end(), () => end())

  function isStarted (): boolean {
    return hasConfig && hasTargets
  }

  function endOnceStarted (): void {
    if (isStarted()) end()
  }

  return {
    recordConfig: () => {
      hasConfig = true
      endOnceStarted()
    },
    recordTargets: () => {
      hasTargets = true
      endOnceStarted()
    },
    isStarted,
    whenStarted
  }
}
