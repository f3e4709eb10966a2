/** Error that ends a request, with the information that a caller needs to decide whether to retry. */
import { REFUSAL_REASONS, type RefusalReason } from '../reasons'

/**
 * What is known about the execution of a request that ended with an error.
 *
 * - `not_run`: no byte of it reached a target
 * - `failed`: it reached a target, and the response was an error or incomplete
 * - `unknown`: it may have run to completion
 */
export type Outcome = 'not_run' | 'failed' | 'unknown'

export interface RefusalOptions {
  /** Human-readable explanation; the title of the reason when absent. */
  detail?: string
  /** Defaults to `not_run`. */
  outcome?: Outcome
  /** Time until a retry may succeed, in milliseconds. */
  retryAfterMs?: number
  /** Path of the invalid field, for validation errors. */
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

/** Returns the message of a thrown value of any type. */
export function describeCause (cause: unknown): string {
  if (cause instanceof Error) return cause.message || cause.name
  return String(cause)
}
