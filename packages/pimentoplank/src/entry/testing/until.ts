/** Waits in tests for something to have happened. */
import { setTimeout as delay } from 'node:timers/promises'

const POLL_MS = 5
const LIMIT_MS = 4000

/** Resolves when the condition holds; throws when it doesn't come to hold. */
export async function until (condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + LIMIT_MS
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error('the condition did not come to hold')
    await delay(POLL_MS)
  }
}
