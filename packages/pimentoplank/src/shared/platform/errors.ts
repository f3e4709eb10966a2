/** Errors of the platform's object API. */
import type { StoredObject } from './schemas'

/** The platform did not answer, or answered that it cannot work now. */
export class PlatformUnavailable extends Error {
  /** True for a write that may still have taken effect. */
  readonly maybeApplied: boolean

  constructor (detail: string, options: { maybeApplied?: boolean, cause?: unknown } = {}) {
    super(`platform unavailable: ${detail}`, { cause: options.cause })
    this.name = 'PlatformUnavailable'
    this.maybeApplied = options.maybeApplied ?? false
  }
}

/** A conditional write found another revision. */
export class PlatformConflict extends Error {
  /** The object as it is, or null when there is none. */
  readonly current: StoredObject | null
  /** True when an earlier try of this same write lost its answer, so it may have taken effect before `current`. */
  readonly maybeApplied: boolean

  constructor (current: StoredObject | null, maybeApplied: boolean) {
    super(`platform conflict at revision ${current?.revision ?? 0}`)
    this.name = 'PlatformConflict'
    this.current = current
    this.maybeApplied = maybeApplied
  }
}

/** The platform will never accept this call, such as a value over its size limit. */
export class PlatformRejected extends Error {
  readonly status: number

  constructor (status: number, detail: string) {
    super(`platform rejected the call: ${detail}`)
    this.name = 'PlatformRejected'
    this.status = status
  }
}

export type PlatformError = PlatformUnavailable | PlatformConflict | PlatformRejected
