/** Finds targets that went silent while requests run there. */
import type { Clock } from '../../shared'

export interface SilenceLimits {
  /** Longest silence before the first bytes of an answer, in milliseconds. */
  firstMs: number
  /** Longest silence after them, in milliseconds. */
  gapMs: number
  onSilent: () => void
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

/**
 * Creates the record of an instance. A request that waits in a target's queue is silent too, so before its first bytes
 * a target counts as silent only when no other request there has had any for as long.
 */
export function createTargetActivity (clock: Clock): TargetActivity {
  const lastBytesAt = new Map<string, number>()

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
      if (leftMs <= 0) limits.onSilent()
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
