/** Detects targets that stop sending bytes while requests run there. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../shared'

export interface SilenceLimits {
  /** Timeout for the first bytes of an answer, in milliseconds. */
  firstMs: number
  /** Timeout between later bytes, in milliseconds. */
  gapMs: number
  /**
   * Called when the target exceeds a timeout, and again if it does so after further bytes.
   *
   * @param isCertain - false when the request may merely be queued at the target
   */
  onSilent: (isCertain: boolean) => void
}

export interface SilenceWatch {
  /** Records that bytes of the answer arrived. */
  recordBytes: () => void
  stop: () => void
}

export interface SilenceDetector {
  /** Watches one request at a target. */
  watch: (targetId: string, limits: SilenceLimits) => SilenceWatch
}

/** Maximum of targets tracked; the least recently used are evicted. */
const MAX_TARGETS = 10_000
/** Two timeouts for first bytes within this time of each other make the silence certain, in milliseconds. */
const SECOND_SILENCE_MS = 1000

/**
 * Creates the silence detector of an instance. A request queued at its target gets no bytes either. So before the first
 * bytes, the target counts as silent only when no other request there has got bytes for as long, and the silence is
 * certain only when that happens a second time. A stream that has begun has a slot, so its silence is certain.
 */
export function createSilenceDetector (clock: Clock): SilenceDetector {
  const lastBytesAt = new LRUCache<string, number>({ max: MAX_TARGETS })
  const lastSilentAt = new LRUCache<string, number>({ max: MAX_TARGETS })

  function isSecondSilence (targetId: string): boolean {
    const now = clock.now()
    const before = lastSilentAt.get(targetId) ?? -Infinity
    lastSilentAt.set(targetId, now)
    return now - before < SECOND_SILENCE_MS && before > (lastBytesAt.get(targetId) ?? -Infinity)
  }

  function watch (targetId: string, limits: SilenceLimits): SilenceWatch {
    const startedAt = clock.now()
    let ownBytesAt: number | undefined
    let isStopped = false
    let timer: NodeJS.Timeout | undefined = setTimeout(check, limits.firstMs)

    function getSilence (): { since: number, limitMs: number } {
      if (ownBytesAt !== undefined) return { since: ownBytesAt, limitMs: limits.gapMs }
      return { since: Math.max(startedAt, lastBytesAt.get(targetId) ?? 0), limitMs: limits.firstMs }
    }

    function check (): void {
      const { since, limitMs } = getSilence()
      const leftMs = since + limitMs - clock.now()
      timer = leftMs > 0 ? setTimeout(check, leftMs) : undefined
      if (leftMs <= 0) limits.onSilent(ownBytesAt !== undefined || isSecondSilence(targetId))
    }

    return {
      recordBytes: () => {
        const now = clock.now()
        lastBytesAt.set(targetId, now)
        ownBytesAt = now
        // The target was reported as silent and has gone on.
        if (!isStopped) timer ??= setTimeout(check, limits.gapMs)
      },
      stop: () => {
        isStopped = true
        clearTimeout(timer)
      }
    }
  }

  return { watch }
}
