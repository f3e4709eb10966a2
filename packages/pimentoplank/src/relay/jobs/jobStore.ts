/** Persists batch jobs at the platform. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type * as z from 'zod'
import {
  PlatformConflict, PlatformRejected, PlatformUnavailable,
  type Clock, type PlatformClient, type PlatformError, type StoredObject
} from '../../shared'
import {
  toInputName, JOB_KINDS, jobInput, jobRecord, resultSegment, toSegmentName,
  type ItemResult, type JobItem, type JobRecord, type ResultSegment
} from './records'

/** A record with its revision, on which the next update is conditional. */
export interface StoredJob {
  record: JobRecord
  revision: number
  /** Time before which nothing newer was stored, on the monotonic clock in milliseconds. */
  asOf: number
}

export interface CreatedJob extends StoredJob {
  /** False when it exists already. */
  created: boolean
  /** True if the record as this call has written it may be stored later, once there is none. */
  isInDoubt: boolean
}

/** Changes of records after a revision. */
export interface RecordChanges {
  /** Revision up to which all changes are among them. */
  revision: number
  /** Time at which no later change was stored yet, on the monotonic clock in milliseconds. */
  asOf: number
  /** True when they are all records that exist, since the platform has discarded the history. */
  isComplete: boolean
  /** The records by job id; undefined for one that was deleted. */
  records: Map<string, StoredJob | undefined>
}

export interface JobStore {
  /** False while the platform answers no calls. */
  isAvailable: () => boolean
  /** Creates a job; fails if its record or input could not be written, of which either may be stored then. */
  create: (job: string, record: JobRecord, items: readonly JobItem[]) => ResultAsync<CreatedJob, PlatformError>
  /** Reads a record; undefined when it does not exist. */
  read: (job: string) => ResultAsync<StoredJob | undefined, PlatformError>
  /** Reads all records. */
  readAll: () => ResultAsync<RecordChanges, PlatformError>
  /** Lists all records, by job id. */
  list: () => ResultAsync<Map<string, StoredJob>, PlatformError>
  /**
   * Reads the records that changed after a revision, with one call unless the platform has discarded the history.
   *
   * @param timeoutMs - time allowed for the answer, in milliseconds
   */
  readChanges: (since: number, timeoutMs: number) => ResultAsync<RecordChanges, PlatformError>
  /** Updates a record if its revision is unchanged. */
  update: (job: string, record: JobRecord, revision: number) => ResultAsync<StoredJob, PlatformError>
  /** Reads the items of a job; undefined while any part of its input is missing. */
  readItems: (job: string) => ResultAsync<JobItem[] | undefined, PlatformError>
  /**
   * Writes a segment. When another owner wrote it first, resolves to the segment stored there instead.
   *
   * @param index - number of preceding segments
   */
  writeSegment: (job: string, index: number, segment: ResultSegment) => ResultAsync<ResultSegment, PlatformError>
  /** Deletes the record of a job that was not acknowledged, unless it has changed. */
  withdraw: (job: string, revision: number) => ResultAsync<void, PlatformError>
  /** Deletes all objects of a job, its record last. */
  remove: (job: string, record: JobRecord) => ResultAsync<void, PlatformError>
  /** Reads a segment; undefined when it does not exist. */
  readSegment: (job: string, index: number) => ResultAsync<ItemResult[] | undefined, PlatformError>
}

/** Wait requested of the platform while there are no changes, in milliseconds: it answers at once. */
const CHANGES_WAIT_MS = 1
/** Maximum size of an input object, in characters; larger inputs are split over several objects. */
const MAX_INPUT_CHARS = 700_000

/** Splits items into parts that each fit one object. */
export function splitItems (items: readonly JobItem[]): JobItem[][] {
  const parts: JobItem[][] = [[]]
  let chars = 0
  for (const item of items) {
    const size = item.body.length + item.headers.join('').length + item.path.length
    if (chars > 0 && chars + size > MAX_INPUT_CHARS) {
      parts.push([])
      chars = 0
    }
    parts.at(-1)!.push(item)
    chars += size
  }
  return parts
}

/** Creates the job store of an instance. */
export function createJobStore (platform: PlatformClient, clock: Clock): JobStore {
  async function create (
    job: string,
    record: JobRecord,
    items: readonly JobItem[]
  ): Promise<Result<CreatedJob, PlatformError>> {
    const parts = splitItems(items)
    const asOf = clock.now()
    const writes = parts.map(async (part, index) =>
      await createIfAbsent(platform, JOB_KINDS.input, toInputName(job, index), { items: part, parts: parts.length }))
    const [recorded, ...inputs] = await Promise.all([
      platform.put(JOB_KINDS.record, job, record, { ifRevision: 0 }), ...writes
    ])
    const isInDoubt = recorded.match(({ mayRecur }) => mayRecur === true, mayBeStored)
    for (const input of inputs) if (input.isErr()) return err(isInDoubt ? toDoubtful(input.error) : input.error)
    if (recorded.isOk()) return ok({ record, revision: recorded.value.revision, asOf, created: true, isInDoubt })
    if (!(recorded.error instanceof PlatformConflict) || recorded.error.current === null) return err(recorded.error)
    const { current } = recorded.error
    return parse(jobRecord, current).map((found) => (
      { record: found, revision: current.revision, asOf, created: false, isInDoubt }
    ))
  }

  async function list (): Promise<Result<{ revision: number, jobs: Map<string, StoredJob> }, PlatformError>> {
    const asOf = clock.now()
    const page = await platform.listAll(JOB_KINDS.record)
    return page.map(({ revision, items }) => ({ revision, jobs: parseRecords(items, asOf) }))
  }

  async function readAll (): Promise<Result<RecordChanges, PlatformError>> {
    const asOf = clock.now()
    const all = await list()
    return all.map(({ revision, jobs }) => ({ revision, asOf, isComplete: true, records: jobs }))
  }

  async function readChanges (since: number, timeoutMs: number): Promise<Result<RecordChanges, PlatformError>> {
    const asOf = clock.now()
    const options = { since, waitMs: CHANGES_WAIT_MS, marginMs: timeoutMs }
    const batch = await platform.watch(JOB_KINDS.record, options)
    if (batch.isErr()) return err(batch.error)
    if (batch.value.compacted === true) return await readAll()
    const { revision, events } = batch.value
    if (revision < since) return err(new PlatformUnavailable(`stale answer: revision ${revision} is before ${since}`))
    const records = new Map<string, StoredJob | undefined>()
    for (const { name, object } of events) {
      const [parsed] = object === undefined ? [undefined] : parseRecords([object], asOf).values()
      if (parsed !== undefined || object === undefined) records.set(name, parsed)
    }
    return ok({ revision, asOf, isComplete: false, records })
  }

  async function readItems (job: string): Promise<Result<JobItem[] | undefined, PlatformError>> {
    const items: JobItem[] = []
    let parts = 1
    for (let part = 0; part < parts; part++) {
      const found = await platform.get(JOB_KINDS.input, toInputName(job, part))
      if (found.isErr()) return err(found.error)
      if (found.value === null) return ok(undefined)
      const input = parse(jobInput, found.value)
      if (input.isErr()) return err(input.error)
      items.push(...input.value.items)
      parts = input.value.parts
    }
    return ok(items)
  }

  async function writeSegment (
    job: string,
    index: number,
    segment: ResultSegment
  ): Promise<Result<ResultSegment, PlatformError>> {
    const name = toSegmentName(job, index)
    const written = await platform.put(JOB_KINDS.results, name, segment, { ifRevision: 0 })
    if (written.isOk()) return ok(segment)
    if (!(written.error instanceof PlatformConflict) || written.error.current === null) return err(written.error)
    return parse(resultSegment, written.error.current)
  }

  async function readSegment (job: string, index: number): Promise<Result<ItemResult[] | undefined, PlatformError>> {
    const found = await platform.get(JOB_KINDS.results, toSegmentName(job, index))
    if (found.isErr()) return err(found.error)
    if (found.value === null) return ok(undefined)
    return parse(resultSegment, found.value).map((segment) => segment.results)
  }

  async function remove (job: string, record: JobRecord): Promise<Result<void, PlatformError>> {
    for (let index = 0; ; index++) {
      const segment = await readSegment(job, index)
      if (segment.isErr()) return err(segment.error)
      if (segment.value === undefined) break
      const removed = await platform.remove(JOB_KINDS.results, toSegmentName(job, index))
      if (removed.isErr()) return removed
    }
    for (let part = 0; part < record.inputParts; part++) {
      const removed = await platform.remove(JOB_KINDS.input, toInputName(job, part))
      if (removed.isErr()) return removed
    }
    return await platform.remove(JOB_KINDS.record, job)
  }

  async function update (job: string, record: JobRecord, revision: number): Promise<Result<StoredJob, PlatformError>> {
    const asOf = clock.now()
    const written = await platform.put(JOB_KINDS.record, job, record, { ifRevision: revision })
    return written.map((object) => ({ record, revision: object.revision, asOf }))
  }

  async function read (job: string): Promise<Result<StoredJob | undefined, PlatformError>> {
    const asOf = clock.now()
    const found = await platform.get(JOB_KINDS.record, job)
    if (found.isErr()) return err(found.error)
    const { value } = found
    if (value === null) return ok(undefined)
    return parse(jobRecord, value).map((record) => ({ record, revision: value.revision, asOf }))
  }

  return {
    isAvailable: platform.isAvailable,
    create: (...args) => new ResultAsync(create(...args)),
    read: (job) => new ResultAsync(read(job)),
    readAll: () => new ResultAsync(readAll()),
    list: () => new ResultAsync(list()).map(({ jobs }) => jobs),
    readChanges: (...args) => new ResultAsync(readChanges(...args)),
    update: (...args) => new ResultAsync(update(...args)),
    withdraw: (job, revision) => platform.remove(JOB_KINDS.record, job, { ifRevision: revision }),
    remove: (job, record) => new ResultAsync(remove(job, record)),
    readItems: (...args) => new ResultAsync(readItems(...args)),
    writeSegment: (...args) => new ResultAsync(writeSegment(...args)),
    readSegment: (...args) => new ResultAsync(readSegment(...args))
  }
}

/** True if a write may have taken effect, or may do so later, though it failed. */
function mayBeStored (cause: PlatformError): boolean {
  return !(cause instanceof PlatformRejected) && cause.maybeApplied
}

function toDoubtful (cause: PlatformError): PlatformUnavailable {
  return new PlatformUnavailable(cause.message, { maybeApplied: true, cause })
}

/** Leaves out objects that are no records. */
function parseRecords (objects: readonly StoredObject[], asOf: number): Map<string, StoredJob> {
  const jobs = new Map<string, StoredJob>()
  for (const { name, value, revision } of objects) {
    const record = jobRecord.safeParse(value)
    if (record.success) jobs.set(name, { record: record.data, revision, asOf })
  }
  return jobs
}

/** Creates an object if absent; an existing one is a success, since every writer writes the same content. */
async function createIfAbsent (
  platform: PlatformClient,
  kind: string,
  name: string,
  value: unknown
): Promise<Result<void, PlatformError>> {
  const written = await platform.put(kind, name, value, { ifRevision: 0 })
  if (written.isOk()) return ok(undefined)
  const exists = written.error instanceof PlatformConflict && written.error.current !== null
  return exists ? ok(undefined) : err(written.error)
}

function parse<Schema extends z.ZodType> (
  schema: Schema,
  object: StoredObject
): Result<z.output<Schema>, PlatformError> {
  const parsed = schema.safeParse(object.value)
  if (parsed.success) return ok(parsed.data)
  return err(new PlatformUnavailable(`${object.kind}/${object.name} has an invalid value: ${parsed.error.message}`))
}
