/** The planned stop of an instance: callers move away first, and whatever runs is finished. */
import { createSystemClock, SECOND_MS, type Clock, type Log } from '../../shared'

/** Time for the other instances to hear of the stop; until then their directories name this one. */
const ANNOUNCE_MS = SECOND_MS

export const STOP_STAGES = ['serving', 'moving', 'closed'] as const
/**
 * - `serving`: not stopping
 * - `moving`: out of the directory; callers that kept an older answer are still served
 * - `closed`: new requests are refused with `addressMoved`; running ones are finished
 */
export type StopStage = typeof STOP_STAGES[number]

export interface StopperOptions {
  /** How long callers may keep the directory's answer, in milliseconds. */
  directoryMaxAgeMs: number
  /** Longest time for the whole stop, in milliseconds. */
  graceMs: number
  /** Called as the stop begins; hands over what other instances can do. */
  onLeave: () => Promise<void>
  clock?: Clock
  log: Log
}

export interface Stopper {
  stage: () => StopStage
  /** Notes a request in flight; returns the way to note its end. */
  enter: () => () => void
  /** Begins the stop; resolves when nothing runs any more, or the time is up. Later calls join the first. */
  stop: () => Promise<void>
}

/** Creates the stop of an instance. */
export function createStopper (options: StopperOptions): Stopper {
  const { log } = options
  const clock = options.clock ?? createSystemClock()
  let stage: StopStage = 'serving'
  let inFlight = 0
  let onIdle = (): void => undefined
  let stopping: Promise<void> | undefined

  async function run (): Promise<void> {
    stage = 'moving'
    const deadlineAt = clock.now() + options.graceMs
    log.info({ inFlight }, 'leaving: out of the directory')
    const handedOver = options.onLeave().catch((cause) => log.warn({ err: cause }, 'hand-over failed'))
    // An answer of the directory given right before may be kept, and used, until its age is over.
    await clock.sleep(Math.min(options.directoryMaxAgeMs + ANNOUNCE_MS, options.graceMs))
    stage = 'closed'
    log.info({ inFlight }, 'leaving: new requests are refused')
    const idle = inFlight === 0 ? Promise.resolve() : new Promise<void>((resolve) => { onIdle = resolve })
    const limit = new AbortController()
    await Promise.race([
      Promise.all([idle, handedOver]),
      clock.sleep(Math.max(0, deadlineAt - clock.now()), limit.signal)
    ])
    limit.abort()
    log.info({ inFlight }, 'leaving: done')
  }

  return {
    stage: () => stage,
    enter: () => {
      inFlight += 1
      let left = false
      return () => {
        if (left) return
        left = true
        inFlight -= 1
        if (inFlight === 0) onIdle()
      }
    },
    stop: async () => await (stopping ??= run())
  }
}
