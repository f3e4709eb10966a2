/** Errors of the platform's object API. */
import type { StoredObject } from './schemas'

/** The platform did not respond, responded that it is temporarily unavailable, or sent an invalid response. */
export class PlatformUnavailable extends Error {
  /** True for a write that may have taken effect nevertheless. */
  readonly maybeApplied: boolean

  constructor (detail: string, options: { maybeApplied?: boolean, cause?: unknown } = {}) {
    super(`platform unavailable: ${detail}`, { cause: options.cause })
    this.name = 'PlatformUnavailable'
    this.maybeApplied = options.maybeApplied ?? false
  }
}

/** A conditional write found a revision other than the expected one. */
export class PlatformConflict extends Error {
  /** The object as stored now, or null when there is none. */
  readonly current: StoredObject | null
  /**
   * True when an earlier attempt got no response, so that it may have taken effect before `current` was written, or may
   * do so later if its condition holds again.
   */
  readonly maybeApplied: boolean

  constructor (current: StoredObject | null, maybeApplied: boolean) {
    super(`platform conflict at revision ${current?.revision ?? 0}`)
    this.name = 'PlatformConflict'
    this.current = current
    this.maybeApplied = maybeApplied
  }
}

/** The platform rejects this call permanently, for example because the value exceeds its size limit. */
export class PlatformRejected extends Error {
  readonly status: number

  constructor (status: number, detail: string) {
    super(`platform rejected the call: ${detail}`)
    this.name = 'PlatformRejected'
    this.status = status
  }
}

export type PlatformError = PlatformUnavailable | PlatformConflict | PlatformRejected
