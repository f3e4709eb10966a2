/** Graceful shutdown of an instance: callers move to other instances first, then running requests are finished. */
import { createSystemClock, SECOND_MS, type Clock, type Log } from '../../shared'

/** Time until the other instances have learned of the shutdown; until then their directories list this one. */
const ANNOUNCE_MS = SECOND_MS

export const SHUTDOWN_STAGES = ['serving', 'moving', 'closed'] as const
/**
 * Stage of the shutdown.
 *
 * - `serving`: not shutting down
 * - `moving`: removed from the directory; callers with a cached directory response are still served
 * - `closed`: new requests are refused with `addressMoved`; running ones are finished
 */
export type ShutdownStage = typeof SHUTDOWN_STAGES[number]

export interface ShutdownControllerOptions {
  /** How long callers may cache a directory response, in milliseconds. */
  directoryMaxAgeMs: number
  /** Longest time for the complete shutdown, in milliseconds. */
  graceMs: number
  /** Called when the shutdown begins; hands over the work that other instances can continue. */
  onLeave: () => Promise<void>
  clock?: Clock
  log: Log
}

export interface ShutdownController {
  getStage: () => ShutdownStage
  /**
   * Time until the instance ends, in milliseconds, from when callers no longer have a reason to use it; infinite before
   * that.
   */
  getLeftMs: () => number
  /** Counts a request as in flight; returns the function to call when it ends. */
  trackRequest: () => () => void
  /** Begins the shutdown; resolves when no request runs, or the time is up. Later calls return the same promise. */
  stop: () => Promise<void>
}

/** Creates the shutdown controller of an instance in stage `serving`. */
export function createShutdownController (options: ShutdownControllerOptions): ShutdownController {
  const { log } = options
  const clock = options.clock ?? createSystemClock()
  let stage: ShutdownStage = 'serving'
  let inFlight = 0
  let lateFrom = Infinity
  let endsAt = Infinity
  let onIdle = (): void => undefined
  let shutdown: Promise<void> | undefined

  async function run (): Promise<void> {
    stage = 'moving'
    endsAt = clock.now() + options.graceMs
    lateFrom = clock.now() + options.directoryMaxAgeMs
    log.info({ inFlight }, 'leaving: out of the directory')
    const handedOver = options.onLeave().catch((cause) => log.warn({ err: cause }, 'handover failed'))
    // A directory response sent right before may be cached and used until it expires.
    await clock.sleep(Math.min(options.directoryMaxAgeMs + ANNOUNCE_MS, options.graceMs))
    stage = 'closed'
    log.info({ inFlight }, 'leaving: new requests are refused')
    const idle = inFlight === 0 ? Promise.resolve() : new Promise<void>((resolve) => { onIdle = resolve })
    const limit = new AbortController()
    await Promise.race([
      Promise.all([idle, handedOver]),
      clock.sleep(Math.max(0, endsAt - clock.now()), limit.signal)
    ])
    limit.abort()
    log.info({ inFlight }, 'leaving: done')
  }

  return {
    getStage: () => stage,
    getLeftMs: () => clock.now() < lateFrom ? Infinity : endsAt - clock.now(),
    trackRequest: () => {
      inFlight += 1
      let hasEnded = false
      return () => {
        if (hasEnded) return
        hasEnded = true
        inFlight -= 1
        if (inFlight === 0) onIdle()
      }
    },
    stop: async () => await (shutdown ??= run())
  }
}
