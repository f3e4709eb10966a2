/** Refusals sent to callers when a call to the platform fails. */
import { PlatformRejected, PlatformUnavailable, RefusalError, SECOND_MS, type PlatformError } from '../../shared'

const RETRY_AFTER_MS = 5 * SECOND_MS

/** Converts a platform error to a refusal; its outcome is `unknown` when a write may have taken effect. */
export function toPlatformRefusal (error: PlatformError): RefusalError {
  const maybeApplied = error instanceof PlatformUnavailable && error.maybeApplied
  return new RefusalError('platformDown', {
    outcome: maybeApplied ? 'unknown' : 'not_run',
    retryAfterMs: RETRY_AFTER_MS,
    detail: error instanceof PlatformRejected ? 'the platform refused to store the job' : undefined,
    cause: error
  })
}
