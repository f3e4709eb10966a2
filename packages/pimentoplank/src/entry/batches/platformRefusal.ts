/** What a caller is told when the platform does not do its part. */
import { PlatformRejected, PlatformUnavailable, RefusalError, SECOND_MS, type PlatformError } from '../../shared'

const RETRY_AFTER_MS = 5 * SECOND_MS

/** Turns an error of the platform into a refusal; the outcome is `unknown` where a write may have taken effect. */
export function platformRefusal (error: PlatformError): RefusalError {
  const maybeApplied = error instanceof PlatformUnavailable && error.maybeApplied
  return new RefusalError('platformDown', {
    outcome: maybeApplied ? 'unknown' : 'not_run',
    retryAfterMs: RETRY_AFTER_MS,
    detail: error instanceof PlatformRejected ? 'the platform refused to store the job' : undefined,
    cause: error
  })
}
