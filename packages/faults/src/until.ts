/** Waits for something to become true. */

/** Time between two looks, in milliseconds. */
const LOOK_MS = 20

/**
 * Looks until a value is there; fails after a bound, which only ends a run that would never end.
 *
 * @param what - what is waited for, for the error
 * @param look - resolves with the value, or undefined while it is not there
 * @param boundMs - longest wait, in milliseconds
 */
export async function until<Value> (
  what: string,
  look: () => Promise<Value | undefined>,
  boundMs: number
): Promise<Value> {
  const limit = performance.now() + boundMs
  for (;;) {
    const value = await look()
    if (value !== undefined) return value
    if (performance.now() > limit) throw new Error(`still waiting after ${boundMs} ms for ${what}`)
    await new Promise((resolve) => setTimeout(resolve, LOOK_MS))
  }
}

/**
 * Repeats a call of a caller that may still hold the address of a lost instance, until it is answered.
 *
 * @param what - what is asked for, for the error
 * @param boundMs - longest wait, in milliseconds
 */
export async function untilAnswered<Value> (what: string, ask: () => Promise<Value>, boundMs: number): Promise<Value> {
  return await until(what, async () => await ask().catch(() => undefined), boundMs)
}
