/** Waits for a condition, for as long as a limit allows. */
import assert from 'node:assert/strict'
import { setTimeout as delay } from 'node:timers/promises'

const CHECK_EVERY_MS = 15
const DEFAULT_LIMIT_MS = 5000

export interface UntilOptions {
  limitMs?: number
  /** Describes what was found when the limit passes. */
  describe?: () => string
}

/** Resolves when the condition holds; fails when the limit passes first. */
export async function until (holds: () => boolean, options: UntilOptions = {}): Promise<void> {
  const end = performance.now() + (options.limitMs ?? DEFAULT_LIMIT_MS)
  while (!holds()) {
    assert.ok(performance.now() < end, `not within the limit: ${options.describe?.() ?? ''}`)
    await delay(CHECK_EVERY_MS)
  }
}
