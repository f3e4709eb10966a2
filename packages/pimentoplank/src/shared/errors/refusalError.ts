/** The error that ends a request, with everything a caller needs to decide what to do next. */
import { REFUSAL_REASONS, type RefusalReason } from '../reasons'

/**
 * What is known about the effect of a request that got an error.
 *
 * - `not_run`: no byte of it reached a target
 * - `failed`: it reached a target, and its answer was an error or was cut short
 * - `unknown`: it may have run to its end
 */
export type Outcome = 'not_run' | 'failed' | 'unknown'

export interface RefusalOptions {
  /** What happened, for people. */
  detail?: string
  /** Defaults to `not_run`. */
  outcome?: Outcome
  /** When a later try makes sense, in milliseconds from now. */
  retryAfterMs?: number
  /** Path of the invalid field, for errors about input. */
  field?: string
  cause?: unknown
}

/** A refused or failed request. */
export class RefusalError extends Error {
  readonly reason: RefusalReason
  readonly outcome: Outcome
  readonly retryAfterMs: number | undefined
  readonly field: string | undefined

  constructor (reason: RefusalReason, options: RefusalOptions = {}) {
    super(options.detail ?? REFUSAL_REASONS[reason].title, { cause: options.cause })
    this.name = 'RefusalError'
    this.reason = reason
    this.outcome = options.outcome ?? 'not_run'
    this.retryAfterMs = options.retryAfterMs
    this.field = options.field
  }
}

/** Renders anything that was thrown as one line of text. */
export function describeCause (cause: unknown): string {
  if (cause instanceof Error) return cause.message || cause.name
  return String(cause)
}
