/** Accepts a job: stores its chunks first, then creates the job object, with which the job exists. */
import { err, ok, type Result } from 'neverthrow'
import { v7 as uuid } from 'uuid'
import {
  toJobName, jobRecord, OBJECT_KINDS, PlatformConflict, PlatformUnavailable, RefusalError,
  type Clock, type ConfigView, type JobRecord, type PlatformClient, type StoredObject
} from '../../shared'
import type { BatchLimits } from './limits'
import { createUnknownModelError } from './parseItem'
import { toPlatformRefusal } from './toPlatformRefusal'
import { createChunkStore, storeUpload, type UploadSummary } from './storeUpload'

export interface SubmitDeps {
  platform: PlatformClient
  config: ConfigView
  clock: Clock
  limits: BatchLimits
}

export interface Submission {
  account: string
  /** Idempotency key, unique within the account. */
  key: string
  defaultModel?: string
  body: AsyncIterable<Uint8Array>
}

export interface SubmitOutcome {
  object: StoredObject
  job: JobRecord
  /** False when the same job existed already. */
  created: boolean
}

/** Creates a job, or returns the one that an earlier submission with the same key and content has created. */
export async function submitJob (
  deps: SubmitDeps,
  submission: Submission
): Promise<Result<SubmitOutcome, RefusalError>> {
  const existing = await deps.platform.get(OBJECT_KINDS.job, toJobName(submission.account, submission.key))
  if (existing.isErr()) return err(toPlatformRefusal(existing.error))
  if (existing.value === null) return await createJob(deps, submission)
  return await compareWithExisting(deps, submission, existing.value)
}

async function compareWithExisting (
  { limits, clock }: SubmitDeps,
  { body, defaultModel }: Submission,
  existing: StoredObject
): Promise<Result<SubmitOutcome, RefusalError>> {
  const read = await storeUpload({ body, limits, clock, defaultModel })
  return read.andThen((summary) => toExistingJob(existing, summary))
}

function toExistingJob (existing: StoredObject, { contentHash }: UploadSummary): Result<SubmitOutcome, RefusalError> {
  const job = jobRecord.parse(existing.value)
  if (job.contentHash === contentHash) return ok({ object: existing, job, created: false })
  return err(new RefusalError('batchConflict', { field: 'Idempotency-Key' }))
}

async function createJob (deps: SubmitDeps, submission: Submission): Promise<Result<SubmitOutcome, RefusalError>> {
  const { platform, config, clock, limits } = deps
  const { account, key, defaultModel, body } = submission
  const { models } = config.current()
  if (defaultModel !== undefined && !models.has(defaultModel)) return err(createUnknownModelError(defaultModel))

  const name = toJobName(account, key)
  const uploadId = uuid().replaceAll('-', '')
  const store = createChunkStore(platform, { job: name, uploadId, startedAt: clock.wallTime() })
  const hasModel = (model: string): boolean => models.has(model)
  const uploaded = await storeUpload({ body, limits, clock, defaultModel, hasModel, store })
  if (uploaded.isErr()) {
    await store.discard()
    return err(uploaded.error)
  }

  const job: JobRecord = { account, key, uploadId, ...uploaded.value, state: 'running', createdAt: clock.wallTime() }
  const created = await platform.put(OBJECT_KINDS.job, name, job, { ifRevision: 0 })
  if (created.isOk()) return ok({ object: created.value, job, created: true })
  const { error } = created
  // The job may exist, so its chunks must stay; the collector removes them if it doesn't.
  if (error instanceof PlatformUnavailable && error.maybeApplied) return err(toPlatformRefusal(error))
  if (error instanceof PlatformConflict && error.current !== null) {
    const found = jobRecord.parse(error.current.value)
    if (found.uploadId === uploadId) return ok({ object: error.current, job: found, created: true })
    await store.discard()
    return toExistingJob(error.current, uploaded.value)
  }
  await store.discard()
  return err(toPlatformRefusal(error))
}
