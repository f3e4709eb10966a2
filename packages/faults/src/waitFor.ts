/** Polls for asynchronous conditions. */

/** Time between two polls, in milliseconds. */
const POLL_INTERVAL_MS = 20

/**
 * Polls until a value is available; throws after a time limit, which ends runs that would otherwise hang.
 *
 * @param what - description of the value, for the error
 * @param poll - resolves with the value, or with undefined while it is not available
 * @param timeoutMs - maximum wait, in milliseconds
 */
export async function waitFor<Value> (
  what: string,
  poll: () => Promise<Value | undefined>,
  timeoutMs: number
): Promise<Value> {
  const deadline = performance.now() + timeoutMs
  for (;;) {
    const value = await poll()
    if (value !== undefined) return value
    if (performance.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/**
 * Repeats a request until it gets a response; a caller may still have the address of a lost instance.
 *
 * @param what - description of the response, for the error
 * @param timeoutMs - maximum wait, in milliseconds
 */
export async function waitForResponse<Value> (
  what: string,
  send: () => Promise<Value>,
  timeoutMs: number
): Promise<Value> {
  return await waitFor(what, async () => await send().catch(() => undefined), timeoutMs)
}
