/** Decides whether a stored job is accepted: within the limit of its route, and only where it can't be withdrawn. */
import { err, ok, type Result } from 'neverthrow'
import { PlatformConflict, type Log, type PlatformError } from '../../shared'
import type { JobRegistry } from './jobRegistry'
import type { CreatedJob, JobStore, StoredJob } from './jobStore'
import type { Quota, QuotaJob } from './quota'

export interface JobAcceptanceOptions {
  jobRegistry: JobRegistry
  store: Pick<JobStore, 'read' | 'update'>
  quota: Quota
  log: Log
}

/**
 * Decides on a job that this or another instance has stored.
 *
 * @returns the record with which the job is accepted; undefined when it does not fit or is gone
 */
export type AcceptJob = (job: QuotaJob, created: CreatedJob) => Promise<Result<StoredJob | undefined, PlatformError>>

/** Creates the decision of an instance. */
export function createJobAcceptance ({ jobRegistry: registry, store, quota, log }: JobAcceptanceOptions): AcceptJob {
  return async (job, created) => {
    if (created.created) return (await quota.confirm(job, created.revision)).map((fits) => fits ? created : undefined)
    let stored: StoredJob | undefined = created
    while (stored !== undefined) {
      const { record, revision }: StoredJob = stored
      const isDecided = job.limit === 0 || record.ended || record.finished || record.accepted === true
      if (isDecided || registry.isAccepted(job.id)) return ok(stored)
      const confirmed = await quota.confirm(job, revision)
      if (confirmed.isErr()) return err(confirmed.error)
      if (!confirmed.value) return ok(undefined)
      // The instance that stored it may be about to withdraw it, which a later revision prevents.
      const change = { ...record, accepted: true }
      const noted: Result<StoredJob, PlatformError> = await store.update(job.id, change, revision)
      if (noted.isOk()) {
        const { owner, epoch } = record
        log.info({ job: job.id, owner, epoch }, 'job accepted for the instance that stored it')
        return ok(noted.value)
      }
      if (!(noted.error instanceof PlatformConflict)) return err(noted.error)
      const current: Result<StoredJob | undefined, PlatformError> = await store.read(job.id)
      if (current.isErr()) return err(current.error)
      stored = current.value
    }
    return ok(undefined)
  }
}
