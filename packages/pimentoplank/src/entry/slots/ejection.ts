/** Outlier ejection: stops work on a failing target and readmits it through single probe requests with backoff. */
import type { SlotSchedulerSettings } from '../../shared'

export type Admission = 'open' | 'probe' | 'closed'

export interface Ejection {
  /** Returns whether the target may get work now: any, a single probe request, or none. */
  getAdmission: (now: number) => Admission
  /** Records that a probe was granted. */
  startProbe: () => void
  /** Records that the probe ended without a usable result, so that another one may start. */
  cancelProbe: () => void
  /** Records a success; true when it readmitted the target. */
  recordSuccess: (grantedAt: number) => boolean
  /** Records a failure; true when it ejected the target, or ejected it again after a probe. */
  recordFailure: (now: number, failure: { grantedAt: number, crashed: boolean }) => boolean
  /** Returns the time until the next probe, in milliseconds; 0 when the target is not ejected. */
  remainingMs: (now: number) => number
}

/** Creates the ejection state of one target, not ejected at first. */
export function createEjection (
  settings: Pick<SlotSchedulerSettings, 'ejectAfter' | 'ejectBaseMs' | 'ejectMaxMs'>
): Ejection {
  let failures = 0
  let ejections = 0
  let ejected: { at: number, until: number } | undefined
  let probing = false

  function eject (now: number): void {
    const ejectionMs = Math.min(settings.ejectMaxMs, settings.ejectBaseMs * 2 ** ejections)
    ejections += 1
    ejected = { at: now, until: now + ejectionMs }
    probing = false
  }

  /** The result of work granted before the ejection says nothing about the target's current state. */
  function isStale (grantedAt: number): boolean {
    return ejected !== undefined && grantedAt < ejected.at
  }

  return {
    getAdmission: (now) => {
      if (ejected === undefined) return 'open'
      return now < ejected.until || probing ? 'closed' : 'probe'
    },
    startProbe: () => { probing = true },
    cancelProbe: () => { probing = false },
    recordSuccess: (grantedAt) => {
      if (isStale(grantedAt)) return false
      const readmitted = ejected !== undefined
      failures = 0
      ejections = 0
      ejected = undefined
      probing = false
      return readmitted
    },
    recordFailure: (now, { grantedAt, crashed }) => {
      if (isStale(grantedAt)) return false
      failures += 1
      if (ejected === undefined && !crashed && failures < settings.ejectAfter) return false
      eject(now)
      return true
    },
    remainingMs: (now) => ejected === undefined ? 0 : Math.max(1, Math.ceil(ejected.until - now))
  }
}
