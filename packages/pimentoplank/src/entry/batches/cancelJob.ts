/** Asks for the end of a job; runners carry it out. */
import { err, ok, type Result } from 'neverthrow'
import {
  jobRecord, OBJECT_KINDS, PlatformConflict, RefusalError,
  type JobRecord, type PlatformClient, type StoredObject
} from '../../shared'
import { platformRefusal } from './platformRefusal'

/** Conflicts with other writers of the job before the caller is told to come back. */
const MAX_CONFLICTS = 5

export interface CancelOutcome {
  job: JobRecord
  /** The object written; absent when the job had been cancelled before. */
  written?: StoredObject
}

/** Sets the job's state to `cancelling`. */
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
    if (!(written.error instanceof PlatformConflict)) return err(platformRefusal(written.error))
    if (written.error.current === null) return err(new RefusalError('notFound'))
    current = written.error.current
  }
  return err(new RefusalError('platformDown', { detail: 'the job changed too often' }))
}
