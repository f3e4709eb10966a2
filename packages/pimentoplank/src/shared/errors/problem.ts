/** Problem details (RFC 9457), the format of all error responses to callers. */
import { MS_PER_SECOND } from '../constants'
import { REFUSAL_REASONS } from '../reasons'
import type { Outcome, RefusalError } from './refusalError'

/** Used for a retryable refusal without an estimate of its own, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000

export interface Problem {
  type: string
  title: string
  status: number
  detail: string
  reason: string
  outcome: Outcome
  /** Time until a retry may succeed, in milliseconds. */
  retryAfterMs?: number
  /** Path of the invalid field. */
  field?: string
  /** Request id. */
  instance?: string
}

/**
 * Builds the response to a refused request.
 *
 * @returns the body and the headers of the response
 */
export function toProblemResponse (
  err: RefusalError,
  requestId?: string
): { body: Problem, headers: Record<string, string> } {
  const traits = REFUSAL_REASONS[err.reason]
  const retryAfterMs = err.retryAfterMs ?? (traits.retryable ? DEFAULT_RETRY_AFTER_MS : undefined)
  const body: Problem = {
    type: `urn:pimentoplank:problem:${err.reason}`,
    title: traits.title,
    status: traits.status,
    detail: err.message,
    reason: err.reason,
    outcome: err.outcome,
    retryAfterMs,
    field: err.field,
    instance: requestId
  }
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' }
  if (retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)))
  return { body, headers }
}
