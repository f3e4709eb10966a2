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
   * @param silence - what is known of the silence
   */
  onSilent: (silence: Silence) => void
}

export interface Silence {
  /** False when the request may merely be queued at the target. */
  isCertain: boolean
  /** True when no other request has reported it since the target last sent bytes, or since this one was sent. */
  isNew: boolean
}

export interface SilenceWatch {
  /** Records that bytes of the answer arrived. */
  recordBytes: () => void
  /** Pauses the watch while nothing is read from the target, until the next bytes are recorded. */
  hold: () => void
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
  /** When the certain silence of targets was last reported; none for those that have sent bytes since. */
  const reportedAt = new LRUCache<string, number>({ max: MAX_TARGETS })

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
    let isHeld = false
    let timer: NodeJS.Timeout | undefined = setTimeout(check, limits.firstMs)

    function getSilence (): { since: number, limitMs: number } {
      if (ownBytesAt !== undefined) return { since: ownBytesAt, limitMs: limits.gapMs }
      return { since: Math.max(startedAt, lastBytesAt.get(targetId) ?? 0), limitMs: limits.firstMs }
    }

    function getTimeLeft (): number {
      const { since, limitMs } = getSilence()
      return since + limitMs - clock.now()
    }

    function check (): void {
      // On a busy process, bytes that have arrived are read only after the timers.
      if (getTimeLeft() <= 0 && !isHeld) setImmediate(confirm)
      else timer = setTimeout(check, Math.max(1, isHeld ? limits.gapMs : getTimeLeft()))
    }

    function confirm (): void {
      if (isStopped) return
      timer = undefined
      if (getTimeLeft() > 0 || isHeld) {
        check()
        return
      }
      const isCertain = ownBytesAt !== undefined || isSecondSilence(targetId)
      // A request that was sent after the report has tried the target anew.
      const isNew = startedAt > (reportedAt.get(targetId) ?? -Infinity)
      if (isCertain && isNew) reportedAt.set(targetId, clock.now())
      limits.onSilent({ isCertain, isNew })
    }

    return {
      recordBytes: () => {
        const now = clock.now()
        lastBytesAt.set(targetId, now)
        reportedAt.delete(targetId)
        ownBytesAt = now
        isHeld = false
        // The target was reported as silent and has gone on.
        if (!isStopped) timer ??= setTimeout(check, limits.gapMs)
      },
      hold: () => { isHeld = true },
      stop: () => {
        isStopped = true
        clearTimeout(timer)
      }
    }
  }

  return { watch }
}
