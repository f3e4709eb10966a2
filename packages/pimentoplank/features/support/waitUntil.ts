/** Polls a condition up to a time limit. */
import assert from 'node:assert/strict'
import { setTimeout as delay } from 'node:timers/promises'

const CHECK_INTERVAL_MS = 15
const DEFAULT_LIMIT_MS = 5000

export interface WaitOptions {
  limitMs?: number
  /** Describes the state found at the time limit, for the error. */
  describe?: () => string
}

/** Resolves when the condition holds; throws when it does not within the limit. */
export async function waitUntil (holds: () => boolean, options: WaitOptions = {}): Promise<void> {
  const end = performance.now() + (options.limitMs ?? DEFAULT_LIMIT_MS)
  while (!holds()) {
    assert.ok(performance.now() < end, `condition not met within the time limit: ${options.describe?.() ?? ''}`)
    await delay(CHECK_INTERVAL_MS)
  }
}
