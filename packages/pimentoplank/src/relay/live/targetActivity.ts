/** Finds targets that went silent while requests run there. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../shared'

export interface SilenceLimits {
  /** Longest silence before the first bytes of an answer, in milliseconds. */
  firstMs: number
  /** Longest silence after them, in milliseconds. */
  gapMs: number
  /**
   * Called once the target was silent for too long.
   *
   * @param isCertain - false where the request may only wait for a slot there
   */
  onSilent: (isCertain: boolean) => void
}

export interface ActivityWatch {
  /** Notes bytes of the answer. */
  note: () => void
  stop: () => void
}

export interface TargetActivity {
  /** Watches one request at a target; its silence is told once. */
  watch: (targetId: string, limits: SilenceLimits) => ActivityWatch
}

/** Targets of which the last bytes are remembered. */
const REMEMBERED_TARGETS = 10_000
/** Two requests that got no first bytes within this time of each other tell more than one, in milliseconds. */
const SECOND_SILENCE_MS = 1000

/**
 * Creates the record of an instance. A request that waits in a target's queue is silent too, so before its first bytes
 * a target counts as silent only when no other request there has had any for as long, and certainly so only when that
 * happens again. A stream that has begun has a slot; its silence is certain.
 */
export function createTargetActivity (clock: Clock): TargetActivity {
  const lastBytesAt = new LRUCache<string, number>({ max: REMEMBERED_TARGETS })
  const lastSilentAt = new LRUCache<string, number>({ max: REMEMBERED_TARGETS })

  function isSecondSilence (targetId: string): boolean {
    const now = clock.now()
    const before = lastSilentAt.get(targetId) ?? -Infinity
    lastSilentAt.set(targetId, now)
    return now - before < SECOND_SILENCE_MS && before > (lastBytesAt.get(targetId) ?? -Infinity)
  }

  function watch (targetId: string, limits: SilenceLimits): ActivityWatch {
    const startedAt = clock.now()
    let ownBytesAt: number | undefined
    let timer = setTimeout(check, limits.firstMs)

    function silentSince (): { since: number, limitMs: number } {
      if (ownBytesAt !== undefined) return { since: ownBytesAt, limitMs: limits.gapMs }
      return { since: Math.max(startedAt, lastBytesAt.get(targetId) ?? 0), limitMs: limits.firstMs }
    }

    function check (): void {
      const { since, limitMs } = silentSince()
      const leftMs = since + limitMs - clock.now()
      if (leftMs <= 0) limits.onSilent(ownBytesAt !== undefined || isSecondSilence(targetId))
      else timer = setTimeout(check, leftMs)
    }

    return {
      note: () => {
        const now = clock.now()
        lastBytesAt.set(targetId, now)
        ownBytesAt = now
      },
      stop: () => clearTimeout(timer)
    }
  }

  return { watch }
}
