import type { Clock } from '../../shared'

export interface ShareCallsOptions {
  /** Shortest time between the starts of two runs, in milliseconds. */
  windowMs: number
  clock: Pick<Clock, 'now' | 'sleep'>
}

/**
 * Lets calls that come soon after the start of a run share the next one, so that each sees what is true after it came.
 * Runs may overlap.
 */
export function shareCalls<Value> (
  run: () => Promise<Value>, { windowMs, clock }: ShareCallsOptions
): () => Promise<Value> {
  let startedAt = -Infinity
  let next: Promise<Value> | undefined

  async function start (): Promise<Value> {
    next = undefined
    startedAt = clock.now()
    return await run()
  }

  return async () => {
    const waitMs = startedAt + windowMs - clock.now()
    if (next === undefined && waitMs <= 0) return await start()
    next ??= clock.sleep(waitMs).then(start)
    return await next
  }
}
