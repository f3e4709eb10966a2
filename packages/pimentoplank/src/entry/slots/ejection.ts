/** Takes a failing target out of use and brings it back with one probe at a time. */
import type { SlotHomeSettings } from '../../shared'

export type Admission = 'open' | 'probe' | 'closed'

export interface Ejection {
  /** Whether the target may get work now; `probe` is for one request. */
  admission: (now: number) => Admission
  /** Notes that a probe was granted. */
  startProbe: () => void
  /** The probe ended without telling anything. */
  cancelProbe: () => void
  /** Notes a success; true when it brought the target back. */
  succeeded: (grantedAt: number) => boolean
  /** Notes a failure; true when it ejected the target, or kept it out after a probe. */
  failed: (now: number, failure: { grantedAt: number, crashed: boolean }) => boolean
  /** Time until the next probe, in milliseconds; 0 when the target is in use. */
  remainingMs: (now: number) => number
}

/** Creates the state of one target, in use. */
export function createEjection (
  settings: Pick<SlotHomeSettings, 'ejectAfter' | 'ejectBaseMs' | 'ejectMaxMs'>
): Ejection {
  let failures = 0
  let ejections = 0
  let ejected: { at: number, until: number } | undefined
  let probing = false

  function eject (now: number): void {
    const length = Math.min(settings.ejectMaxMs, settings.ejectBaseMs * 2 ** ejections)
    ejections += 1
    ejected = { at: now, until: now + length }
    probing = false
  }

  /** Work that began before the ejection proves nothing about the target now. */
  function isStale (grantedAt: number): boolean {
    return ejected !== undefined && grantedAt < ejected.at
  }

  return {
    admission: (now) => {
      if (ejected === undefined) return 'open'
      return now < ejected.until || probing ? 'closed' : 'probe'
    },
    startProbe: () => { probing = true },
    cancelProbe: () => { probing = false },
    succeeded: (grantedAt) => {
      if (isStale(grantedAt)) return false
      const readmitted = ejected !== undefined
      failures = 0
      ejections = 0
      ejected = undefined
      probing = false
      return readmitted
    },
    failed: (now, { grantedAt, crashed }) => {
      if (isStale(grantedAt)) return false
      failures += 1
      if (ejected === undefined && !crashed && failures < settings.ejectAfter) return false
      eject(now)
      return true
    },
    remainingMs: (now) => ejected === undefined ? 0 : Math.max(1, Math.ceil(ejected.until - now))
  }
}
