/** Requests the cancellation of a job; the batch runners carry it out. */
import { err, ok, type Result } from 'neverthrow'
import {
  jobRecord, OBJECT_KINDS, PlatformConflict, RefusalError,
  type JobRecord, type PlatformClient, type StoredObject
} from '../../shared'
import { toPlatformRefusal } from './toPlatformRefusal'

/** Write attempts that may conflict with other writers of the job before the caller is asked to retry. */
const MAX_CONFLICTS = 5

export interface CancelOutcome {
  job: JobRecord
  /** The object as written; absent when the job had already been cancelled. */
  written?: StoredObject
}

/** Sets the state of a running job to `cancelling`; refuses for a job that is done. */
export async function cancelJob (
  platform: PlatformClient,
  found: StoredObject
): Promise<Result<CancelOutcome, RefusalError>> {
  let current = found
  for (let attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
    const job = jobRecord.parse(current.value)
    if (job.state === 'done') return err(new RefusalError('jobFinal', { detail: 'the job is done' }))
    if (job.state !== 'running') return ok({ job })
    const next: JobRecord = { ...job, state: 'cancelling' }
    const written = await platform.put(OBJECT_KINDS.job, current.name, next, { ifRevision: current.revision })
    if (written.isOk()) return ok({ job: next, written: written.value })
    if (!(written.error instanceof PlatformConflict)) return err(toPlatformRefusal(written.error))
    if (written.error.current === null) return err(new RefusalError('notFound'))
    current = written.error.current
  }
  return err(new RefusalError('platformDown', { detail: 'the job changed too often' }))
}
