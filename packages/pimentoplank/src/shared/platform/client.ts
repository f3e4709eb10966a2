/** Client of the platform's object API. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Agent, request, type Dispatcher } from 'undici'
import { v7 as uuid } from 'uuid'
import type * as z from 'zod'
import { createSystemClock, type Clock } from '../clock'
import { MIB_BYTES, SECOND_MS } from '../constants'
import { describeCause } from '../errors'
import { createInMemoryMetrics, type Metrics } from '../metrics'
import { createConnector } from '../targetHttp'
import {
  DEFAULT_DIALECT, type PlatformCall, type PlatformDialect, type PlatformOperation, type PlatformResponse
} from './dialect'
import { PlatformConflict, PlatformRejected, PlatformUnavailable, type PlatformError } from './errors'
import {
  conflictResponse, instanceList, objectPage, putResponse, selectRecords, storedObject, watchBatch,
  type InstanceRecord, type ObjectPage, type StoredObject, type WatchBatch
} from './schemas'

const DEFAULT_TIMEOUT_MS = 2 * SECOND_MS
/** Attempts at one write, including the first; later ones determine whether a write without a response took effect. */
const MAX_WRITE_ATTEMPTS = 3
const MAX_READ_ATTEMPTS = 2
const RETRY_BACKOFF_MS = 50
/** With this many failures in a row the platform counts as unavailable; single calls fail also while it serves. */
const UNAVAILABLE_AFTER_FAILURES = 3
/** Default time that a watch may take beyond the wait that it requested of the platform. */
const WATCH_MARGIN_MS = 2 * SECOND_MS
/** Maximum size of a response, in bytes; what sends more may never end. */
const MAX_RESPONSE_BYTES = 16 * MIB_BYTES
/** Maximum number of informational responses before the final one. */
const MAX_INFORMATIONAL = 16
const HTTP_NOT_FOUND = 404
const HTTP_CONFLICT = 409
const HTTP_TOO_MANY = 429
const HTTP_SERVER_ERROR = 500

export interface PlatformClientOptions {
  /** Base URL. */
  url: string
  token?: string
  /** Instance id, sent in `user-agent` so that the platform can count calls by instance. */
  instance?: string
  /** Timeout of one call, in milliseconds. */
  timeoutMs?: number
  metrics?: Metrics
  clock?: Clock
  /** Generates the unique id of a write. */
  createWriteId?: () => string
  /** Adapter for the platform's API; that of docs/reference/platform.md when absent. */
  dialect?: PlatformDialect
}

export interface PutOptions {
  /** Revision that the object must have; 0 requires that it does not exist yet. */
  ifRevision: number
  signal?: AbortSignal
}

export interface WrittenObject extends StoredObject {
  /**
   * True if an attempt without an answer may still be carried out. It changes nothing while the object is there as
   * written, but its condition may hold again later, as that of a creation does once the object is removed.
   */
  mayRecur?: boolean
}

export interface PutStatusOptions {
  /** Revision that the object must have; any revision when absent. */
  ifRevision?: number
}

export interface RemoveOptions {
  ifRevision?: number
}

export interface ListOptions {
  prefix?: string
  /** Maximum number of items on a page. */
  limit?: number
  /** Last name on the previous page. */
  after?: string
}

export interface WatchOptions {
  prefix?: string
  /** Revision after which events are returned. */
  since: number
  /** How long the platform may delay its response while there are no events, in milliseconds. */
  waitMs: number
  /** Time beyond `waitMs` after which the connection counts as silent, in milliseconds. */
  marginMs?: number
  signal?: AbortSignal
}

/** Operations of the platform that this system uses. */
export interface PlatformClient {
  /** Reads one object; null when it does not exist. */
  get: (kind: string, name: string) => ResultAsync<StoredObject | null, PlatformError>
  /** Reads one page of the objects of a kind, ordered by name. */
  list: (kind: string, options?: ListOptions) => ResultAsync<ObjectPage, PlatformError>
  /** Reads all objects of a kind, page by page. */
  listAll: (kind: string, options?: Pick<ListOptions, 'prefix'>) => ResultAsync<ObjectPage, PlatformError>
  /**
   * Writes an object if it has the expected revision. A write that got no response is sent again with the same
   * condition and write id: either it takes effect then, or the stored object shows that it already has.
   */
  put: (kind: string, name: string, value: unknown, options: PutOptions) => ResultAsync<WrittenObject, PlatformError>
  /** Writes the status part of an object whose other parts belong to other writers. */
  putStatus: (
    kind: string,
    name: string,
    status: unknown,
    options?: PutStatusOptions
  ) => ResultAsync<void, PlatformError>
  /** Removes an object; succeeds when it does not exist. */
  remove: (kind: string, name: string, options?: RemoveOptions) => ResultAsync<void, PlatformError>
  /** Waits for changes to objects of a kind with one long poll, which the platform counts as one call. */
  watch: (kind: string, options: WatchOptions) => ResultAsync<WatchBatch, PlatformError>
  /** False once several calls in a row have failed, until one succeeds; calls are tried once then. */
  isAvailable: () => boolean
  /** Reads the list of instances and targets, which may be stale. */
  listInstances: () => ResultAsync<InstanceRecord[], PlatformError>
  close: () => Promise<void>
}

interface Call extends PlatformCall {
  timeoutMs?: number
  signal?: AbortSignal
}

type HttpResponse = PlatformResponse

export function createPlatformClient (options: PlatformClientOptions): PlatformClient {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const metrics = options.metrics ?? createInMemoryMetrics()
  const clock = options.clock ?? createSystemClock()
  const createWriteId = options.createWriteId ?? uuid
  const dialect = options.dialect ?? DEFAULT_DIALECT
  const agent = new Agent({ connect: createConnector({ timeoutMs }) })
  const base = options.url.replace(/\/$/, '')

  let failuresInRow = 0

  function isAvailable (): boolean {
    return failuresInRow < UNAVAILABLE_AFTER_FAILURES
  }

  async function send (call: Call): Promise<Result<HttpResponse, PlatformUnavailable>> {
    const response = await sendOnce(call)
    if (response.isOk()) failuresInRow = 0
    else if (call.signal?.aborted !== true) failuresInRow += 1
    return response
  }

  async function sendOnce (call: Call): Promise<Result<HttpResponse, PlatformUnavailable>> {
    const limit = AbortSignal.timeout(call.timeoutMs ?? timeoutMs)
    const endless = new AbortController()
    const signal = AbortSignal.any([limit, endless.signal, ...(call.signal === undefined ? [] : [call.signal])])
    let informational = 0
    metrics.count(`platform.calls.${call.method.toLowerCase()}`)
    try {
      const res = await request(base + call.path, {
        method: call.method,
        dispatcher: agent,
        signal,
        onInfo: () => {
          informational += 1
          if (informational > MAX_INFORMATIONAL) endless.abort(new Error('too many informational responses'))
        },
        headers: {
          'user-agent': `pimentoplank/${options.instance ?? 'unnamed'}`,
          ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
          ...(options.token === undefined ? {} : { authorization: `Bearer ${options.token}` })
        },
        body: call.body === undefined ? undefined : JSON.stringify(call.body)
      })
      const text = await readText(res.body)
      if (isUnavailable(res.statusCode)) return err(new PlatformUnavailable(`status ${res.statusCode}`))
      return ok({ status: res.statusCode, body: text === '' ? undefined : JSON.parse(text) })
    } catch (cause) {
      const maybeApplied = call.method !== 'GET' && !isConnectError(cause)
      return err(new PlatformUnavailable(describeCause(cause), { maybeApplied, cause }))
    }
  }

  async function read<Schema extends z.ZodType> (
    operation: PlatformOperation,
    kind: string,
    call: Call,
    schema: Schema,
    maxAttempts = MAX_READ_ATTEMPTS
  ): Promise<Result<z.output<Schema>, PlatformError>> {
    for (let attempt = 1; ; attempt++) {
      const response = await send(call)
      if (response.isOk()) return parseResponse(dialect.translate(operation, kind, response.value), schema)
      if (attempt >= maxAttempts || !isAvailable() || call.signal?.aborted === true) return err(response.error)
      metrics.countRetry('platformUnavailable')
      await clock.sleep(RETRY_BACKOFF_MS, call.signal)
    }
  }

  async function get (kind: string, name: string): Promise<Result<StoredObject | null, PlatformError>> {
    const response = await read('get', kind, dialect.get(kind, name), storedObject)
    if (response.isErr() && isNotFound(response.error)) return ok(null)
    return response
  }

  async function listAll (kind: string, listOptions: ListOptions): Promise<Result<ObjectPage, PlatformError>> {
    const items: StoredObject[] = []
    let revision: number | undefined
    let after: string | undefined
    do {
      const page = await read('list', kind, dialect.list(kind, { ...listOptions, after }), objectPage)
      if (page.isErr()) return err(page.error)
      items.push(...page.value.items)
      // Watch events after the first page's revision include all changes made while later pages were read.
      revision ??= page.value.revision
      after = page.value.next
    } while (after !== undefined)
    return ok({ revision, items })
  }

  async function put (
    kind: string,
    name: string,
    value: unknown,
    putOptions: PutOptions
  ): Promise<Result<WrittenObject, PlatformError>> {
    const { ifRevision, signal } = putOptions
    const writeId = createWriteId()
    const call = { ...dialect.put(kind, name, { value, writeId, ifRevision }), signal }
    let unanswered = 0
    for (let attempt = 1; ; attempt++) {
      const response = await send(call)
      if (response.isOk()) {
        return await readPutResponse(dialect.translate('put', kind, response.value), {
          kind, name, writeId, value, unanswered, readCurrent: async () => await get(kind, name)
        })
      }
      if (response.error.maybeApplied) unanswered += 1
      const maybeApplied = unanswered > 0
      if (attempt >= MAX_WRITE_ATTEMPTS || !isAvailable() || putOptions.signal?.aborted === true) {
        return err(new PlatformUnavailable(response.error.message, { maybeApplied, cause: response.error }))
      }
      metrics.countRetry('platformUnavailable')
      await clock.sleep(RETRY_BACKOFF_MS * attempt, putOptions.signal)
    }
  }

  async function putStatus (
    kind: string,
    name: string,
    status: unknown,
    { ifRevision }: PutStatusOptions
  ): Promise<Result<void, PlatformError>> {
    if (dialect.putStatus === undefined) return err(new PlatformRejected(HTTP_NOT_FOUND, 'objects have no status part'))
    const call = dialect.putStatus(kind, name, status, ifRevision)
    for (let attempt = 1; ; attempt++) {
      const response = await send(call)
      if (response.isOk()) return readEmptyResponse(dialect.translate('putStatus', kind, response.value))
      if (attempt >= MAX_WRITE_ATTEMPTS || !isAvailable()) return err(response.error)
      metrics.countRetry('platformUnavailable')
      await clock.sleep(RETRY_BACKOFF_MS * attempt)
    }
  }

  async function remove (kind: string, name: string, options: RemoveOptions): Promise<Result<void, PlatformError>> {
    const call = dialect.remove(kind, name, options.ifRevision)
    for (let attempt = 1; ; attempt++) {
      const response = await send(call)
      if (response.isOk()) return readEmptyResponse(dialect.translate('remove', kind, response.value))
      if (attempt >= MAX_WRITE_ATTEMPTS || !isAvailable()) return err(response.error)
      metrics.countRetry('platformUnavailable')
      await clock.sleep(RETRY_BACKOFF_MS * attempt)
    }
  }

  async function watch (kind: string, watchOptions: WatchOptions): Promise<Result<WatchBatch, PlatformError>> {
    const call: Call = {
      ...dialect.watch(kind, watchOptions),
      timeoutMs: watchOptions.waitMs + (watchOptions.marginMs ?? WATCH_MARGIN_MS),
      signal: watchOptions.signal
    }
    return await read('watch', kind, call, watchBatch, 1)
  }

  async function listInstances (): Promise<Result<InstanceRecord[], PlatformError>> {
    const response = await read('get', '', { method: 'GET', path: '/v1/instances' }, instanceList)
    return response.map(({ instances }) => selectRecords(instances, () => metrics.count('platform.invalidRecords')))
  }

  return {
    get: (kind, name) => new ResultAsync(get(kind, name)),
    list: (kind, listOptions = {}) => new ResultAsync(read('list', kind, dialect.list(kind, listOptions), objectPage)),
    listAll: (kind, listOptions = {}) => new ResultAsync(listAll(kind, listOptions)),
    put: (kind, name, value, putOptions) => new ResultAsync(put(kind, name, value, putOptions)),
    putStatus: (kind, name, status, options = {}) => new ResultAsync(putStatus(kind, name, status, options)),
    remove: (kind, name, removeOptions = {}) => new ResultAsync(remove(kind, name, removeOptions)),
    watch: (kind, watchOptions) => new ResultAsync(watch(kind, watchOptions)),
    isAvailable,
    listInstances: () => new ResultAsync(listInstances()),
    close: async () => await agent.destroy()
  }
}

async function readText (body: Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  // Leaving the loop closes the connection.
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAX_RESPONSE_BYTES) throw new Error(`the response is larger than ${MAX_RESPONSE_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function isUnavailable (status: number): boolean {
  return status >= HTTP_SERVER_ERROR || status === HTTP_TOO_MANY
}

function isNotFound (error: PlatformError): boolean {
  return error instanceof PlatformRejected && error.status === HTTP_NOT_FOUND
}

function isConnectError (cause: unknown): boolean {
  const code = (cause as { code?: string } | undefined)?.code
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
}

function parseResponse<Schema extends z.ZodType> (
  response: HttpResponse,
  schema: Schema
): Result<z.output<Schema>, PlatformError> {
  if (response.status !== 200) return err(new PlatformRejected(response.status, JSON.stringify(response.body)))
  const parsed = schema.safeParse(response.body)
  if (!parsed.success) return err(new PlatformUnavailable(`invalid response: ${parsed.error.message}`))
  return ok(parsed.data)
}

interface PutContext {
  kind: string
  name: string
  writeId: string
  value: unknown
  /** Number of earlier attempts without an answer. */
  unanswered: number
  /** Reads the current object when the conflict response does not contain it. */
  readCurrent: () => Promise<Result<StoredObject | null, PlatformError>>
}

async function readPutResponse (
  response: HttpResponse,
  context: PutContext
): Promise<Result<WrittenObject, PlatformError>> {
  const { kind, name, writeId, value, unanswered } = context
  if (response.status !== HTTP_CONFLICT) {
    const written = parseResponse(response, putResponse)
    // A write is carried out by the time that its answer begins.
    const isUnreadable = written.isErr() && written.error instanceof PlatformUnavailable
    if (isUnreadable) return err(new PlatformUnavailable(written.error.message, { maybeApplied: true }))
    return written.map(({ revision }) => ({ kind, name, revision, writeId, value, mayRecur: unanswered > 0 }))
  }
  const conflict = conflictResponse.safeParse(response.body)
  if (!conflict.success) return err(new PlatformUnavailable('invalid conflict response', { maybeApplied: true }))
  let { current } = conflict.data
  if (current === undefined) {
    const found = await context.readCurrent()
    if (found.isErr()) return err(new PlatformUnavailable('conflicting object not read', { maybeApplied: true }))
    current = found.value
  }
  // One of the attempts without an answer was carried out.
  if (current?.writeId === writeId) return ok({ ...current, mayRecur: unanswered > 1 })
  return err(new PlatformConflict(current, unanswered > 0))
}

function readEmptyResponse (response: HttpResponse): Result<void, PlatformError> {
  if (response.status === HTTP_CONFLICT) {
    const conflict = conflictResponse.safeParse(response.body)
    return err(new PlatformConflict(conflict.data?.current ?? null, false))
  }
  const isSuccess = response.status === 200 || response.status === 204 || response.status === HTTP_NOT_FOUND
  return isSuccess ? ok(undefined) : err(new PlatformRejected(response.status, JSON.stringify(response.body)))
}
