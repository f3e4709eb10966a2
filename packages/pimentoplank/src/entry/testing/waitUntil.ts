/** Polls a condition in tests. */
import { setTimeout as delay } from 'node:timers/promises'

const POLL_INTERVAL_MS = 5
const TIMEOUT_MS = 4000

/** Resolves when the condition is true; rejects when it is still false after 4 s. */
export async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error('the condition is still false after the time-out')
    await delay(POLL_INTERVAL_MS)
  }
}
