/** Reads and writes batch jobs at the platform. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { z } from 'zod'
import {
  PlatformConflict, PlatformUnavailable, type PlatformClient, type PlatformError, type StoredObject
} from '../../shared'
import {
  inputName, JOB_KINDS, jobInput, jobRecord, resultSegment, segmentName,
  type ItemResult, type JobItem, type JobRecord
} from './records'

/** A record with the revision that the next change of it must name. */
export interface StoredJob {
  record: JobRecord
  revision: number
}

export interface JobStore {
  /** Creates a job; `created` is false when it is there already. */
  create: (
    job: string,
    record: JobRecord,
    items: readonly JobItem[]
  ) => ResultAsync<StoredJob & { created: boolean }, PlatformError>
  /** Reads a record; undefined when there is none. */
  read: (job: string) => ResultAsync<StoredJob | undefined, PlatformError>
  /** Every record, by job. */
  list: () => ResultAsync<Map<string, StoredJob>, PlatformError>
  /** Changes a record on condition of its revision. */
  update: (job: string, record: JobRecord, revision: number) => ResultAsync<StoredJob, PlatformError>
  /** Items of a job; undefined while its input is not there. */
  readItems: (job: string) => ResultAsync<JobItem[] | undefined, PlatformError>
  /**
   * Writes a segment. When another owner wrote it first, the answer holds what stands there instead.
   *
   * @param index - number of segments before it
   */
  writeSegment: (job: string, index: number, results: readonly ItemResult[]) => ResultAsync<ItemResult[], PlatformError>
  /** Takes back the record of a job that was not acknowledged. */
  withdraw: (job: string) => ResultAsync<void, PlatformError>
  /** Removes all that is kept of a job, its record last. */
  remove: (job: string, record: JobRecord) => ResultAsync<void, PlatformError>
  /** Reads a segment; undefined when there is none. */
  readSegment: (job: string, index: number) => ResultAsync<ItemResult[] | undefined, PlatformError>
}

/** Largest input object, in characters; items of one job are spread over several beyond it. */
const MAX_INPUT_CHARS = 700_000

/** Cuts items into groups that fit an object each. */
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

/** Creates the store of an instance. */
export function createJobStore (platform: PlatformClient): JobStore {
  async function create (
    job: string,
    record: JobRecord,
    items: readonly JobItem[]
  ): Promise<Result<StoredJob & { created: boolean }, PlatformError>> {
    const parts = splitItems(items)
    const writes = parts.map(async (part, index) =>
      await createOnce(platform, JOB_KINDS.input, inputName(job, index), { items: part, parts: parts.length }))
    const [recorded, ...inputs] = await Promise.all([
      platform.put(JOB_KINDS.record, job, record, { ifRevision: 0 }), ...writes
    ])
    for (const input of inputs) if (input.isErr()) return err(input.error)
    if (recorded.isOk()) return ok({ record, revision: recorded.value.revision, created: true })
    if (!(recorded.error instanceof PlatformConflict) || recorded.error.current === null) return err(recorded.error)
    return parse(jobRecord, recorded.error.current).map((found) => ({
      record: found, revision: (recorded.error as PlatformConflict).current!.revision, created: false
    }))
  }

  async function list (): Promise<Result<Map<string, StoredJob>, PlatformError>> {
    const page = await platform.listAll(JOB_KINDS.record)
    if (page.isErr()) return err(page.error)
    const jobs = new Map<string, StoredJob>()
    for (const object of page.value.items) {
      const record = jobRecord.safeParse(object.value)
      if (record.success) jobs.set(object.name, { record: record.data, revision: object.revision })
    }
    return ok(jobs)
  }

  async function readItems (job: string): Promise<Result<JobItem[] | undefined, PlatformError>> {
    const items: JobItem[] = []
    let parts = 1
    for (let part = 0; part < parts; part++) {
      const found = await platform.get(JOB_KINDS.input, inputName(job, part))
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
    results: readonly ItemResult[]
  ): Promise<Result<ItemResult[], PlatformError>> {
    const name = segmentName(job, index)
    const written = await platform.put(JOB_KINDS.results, name, { results }, { ifRevision: 0 })
    if (written.isOk()) return ok([...results])
    if (!(written.error instanceof PlatformConflict) || written.error.current === null) return err(written.error)
    return parse(resultSegment, written.error.current).map((segment) => segment.results)
  }

  async function readSegment (job: string, index: number): Promise<Result<ItemResult[] | undefined, PlatformError>> {
    const found = await platform.get(JOB_KINDS.results, segmentName(job, index))
    if (found.isErr()) return err(found.error)
    if (found.value === null) return ok(undefined)
    return parse(resultSegment, found.value).map((segment) => segment.results)
  }

  async function remove (job: string, record: JobRecord): Promise<Result<void, PlatformError>> {
    for (let index = 0; ; index++) {
      const segment = await readSegment(job, index)
      if (segment.isErr()) return err(segment.error)
      if (segment.value === undefined) break
      const removed = await platform.remove(JOB_KINDS.results, segmentName(job, index))
      if (removed.isErr()) return removed
    }
    for (let part = 0; part < record.inputParts; part++) {
      const removed = await platform.remove(JOB_KINDS.input, inputName(job, part))
      if (removed.isErr()) return removed
    }
    return await platform.remove(JOB_KINDS.record, job)
  }

  async function read (job: string): Promise<Result<StoredJob | undefined, PlatformError>> {
    const found = await platform.get(JOB_KINDS.record, job)
    if (found.isErr()) return err(found.error)
    const { value } = found
    if (value === null) return ok(undefined)
    return parse(jobRecord, value).map((record) => ({ record, revision: value.revision }))
  }

  return {
    create: (...args) => new ResultAsync(create(...args)),
    read: (job) => new ResultAsync(read(job)),
    list: () => new ResultAsync(list()),
    update: (job, record, revision) => platform.put(JOB_KINDS.record, job, record, { ifRevision: revision })
      .map((object) => ({ record, revision: object.revision })),
    withdraw: (job) => platform.remove(JOB_KINDS.record, job),
    remove: (job, record) => new ResultAsync(remove(job, record)),
    readItems: (...args) => new ResultAsync(readItems(...args)),
    writeSegment: (...args) => new ResultAsync(writeSegment(...args)),
    readSegment: (...args) => new ResultAsync(readSegment(...args))
  }
}

/** Creates an object that has the same content whoever writes it. */
async function createOnce (
  platform: PlatformClient,
  kind: string,
  name: string,
  value: unknown
): Promise<Result<void, PlatformError>> {
  const written = await platform.put(kind, name, value, { ifRevision: 0 })
  if (written.isOk()) return ok(undefined)
  const isThere = written.error instanceof PlatformConflict && written.error.current !== null
  return isThere ? ok(undefined) : err(written.error)
}

function parse<Schema extends z.ZodType> (
  schema: Schema,
  object: StoredObject
): Result<z.output<Schema>, PlatformError> {
  const parsed = schema.safeParse(object.value)
  if (parsed.success) return ok(parsed.data)
  return err(new PlatformUnavailable(`${object.kind}/${object.name} cannot be read: ${parsed.error.message}`))
}
