/** Client of the platform's object API. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { v7 as uuid } from 'uuid'
import type { z } from 'zod'
import { createSystemClock, type Clock } from '../clock'
import { SECOND_MS } from '../constants'
import { describeCause } from '../errors'
import { createNullMetrics, type Metrics } from '../metrics'
import { DEFAULT_DIALECT, type PlatformCall, type PlatformDialect, type PlatformOperation, type PlatformReply } from './dialect'
import { PlatformConflict, PlatformRejected, PlatformUnavailable, type PlatformError } from './errors'
import {
  conflictReply, instanceList, objectPage, putReply, storedObject, watchBatch,
  type InstanceRecord, type ObjectPage, type StoredObject, type WatchBatch
} from './schemas'

const DEFAULT_TIMEOUT_MS = 2 * SECOND_MS
/** Tries of one write, counting the first; later ones settle a lost answer. */
const WRITE_TRIES = 3
const READ_TRIES = 2
const RETRY_PAUSE_MS = 50
/** A watch may take this much longer than it asked the platform to wait, unless its options say otherwise. */
const WATCH_MARGIN_MS = 2 * SECOND_MS
const HTTP_NOT_FOUND = 404
const HTTP_CONFLICT = 409
const HTTP_TOO_MANY = 429
const HTTP_SERVER_ERROR = 500

export interface PlatformClientOptions {
  /** Base URL. */
  url: string
  token?: string
  /** Instance id, sent as user agent so that the platform can tell whose calls it counts. */
  instance?: string
  /** Limit for one call, in milliseconds. */
  timeoutMs?: number
  metrics?: Metrics
  clock?: Clock
  /** Makes the unique id of a write. */
  newWriteId?: () => string
  /** How calls are written; those of docs/reference/platform.md when absent. */
  dialect?: PlatformDialect
}

export interface PutOptions {
  /** Revision that the object must have; 0 for one that must not exist yet. */
  ifRevision: number
  signal?: AbortSignal
}

export interface PutStatusOptions {
  /** Revision that the object must have; any when absent. */
  ifRevision?: number
}

export interface RemoveOptions {
  ifRevision?: number
}

export interface ListOptions {
  prefix?: string
  /** Most items on a page. */
  limit?: number
  /** Last name of the page before. */
  after?: string
}

export interface WatchOptions {
  prefix?: string
  /** Revision after which events are wanted. */
  since: number
  /** How long the platform may hold the call, in milliseconds. */
  waitMs: number
  /** How much longer the answer may take, in milliseconds; then the connection is taken for silent. */
  marginMs?: number
  signal?: AbortSignal
}

/** All that the system asks of the platform. */
export interface PlatformClient {
  /** Reads one object; null when there is none. */
  get: (kind: string, name: string) => ResultAsync<StoredObject | null, PlatformError>
  /** Reads one page of a kind, in order of name. */
  list: (kind: string, options?: ListOptions) => ResultAsync<ObjectPage, PlatformError>
  /** Reads every page of a kind. */
  listAll: (kind: string, options?: Pick<ListOptions, 'prefix'>) => ResultAsync<ObjectPage, PlatformError>
  /**
   * Writes an object on condition of its revision. A lost answer is settled by sending the same conditional write
   * with the same write id again: it either takes effect now, or finds its own id.
   */
  put: (kind: string, name: string, value: unknown, options: PutOptions) => ResultAsync<StoredObject, PlatformError>
  /** Writes the status part of an object, which other writers own otherwise. */
  putStatus: (
    kind: string,
    name: string,
    status: unknown,
    options?: PutStatusOptions
  ) => ResultAsync<void, PlatformError>
  /** Removes an object; one that is gone already counts as removed. */
  remove: (kind: string, name: string, options?: RemoveOptions) => ResultAsync<void, PlatformError>
  /** Waits for changes to a kind: one long poll, which the platform counts as a call. */
  watch: (kind: string, options: WatchOptions) => ResultAsync<WatchBatch, PlatformError>
  /** Reads the list of instances and targets, which may lag. */
  listInstances: () => ResultAsync<InstanceRecord[], PlatformError>
  close: () => Promise<void>
}

interface Call extends PlatformCall {
  timeoutMs?: number
  signal?: AbortSignal
}

type Reply = PlatformReply

/** Creates a client of the platform. */
export function createPlatformClient (options: PlatformClientOptions): PlatformClient {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const metrics = options.metrics ?? createNullMetrics()
  const clock = options.clock ?? createSystemClock()
  const newWriteId = options.newWriteId ?? uuid
  const dialect = options.dialect ?? DEFAULT_DIALECT
  const agent = new Agent({ connect: { timeout: timeoutMs } })
  const base = options.url.replace(/\/$/, '')

  async function send (call: Call): Promise<Result<Reply, PlatformUnavailable>> {
    const limit = AbortSignal.timeout(call.timeoutMs ?? timeoutMs)
    const signal = call.signal === undefined ? limit : AbortSignal.any([limit, call.signal])
    metrics.count(`platform.calls.${call.method.toLowerCase()}`)
    try {
      const res = await request(base + call.path, {
        method: call.method,
        dispatcher: agent,
        signal,
        headers: {
          'user-agent': `pimentoplank/${options.instance ?? 'unnamed'}`,
          ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
          ...(options.token === undefined ? {} : { authorization: `Bearer ${options.token}` })
        },
        body: call.body === undefined ? undefined : JSON.stringify(call.body)
      })
      const text = await res.body.text()
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
    tries = READ_TRIES
  ): Promise<Result<z.output<Schema>, PlatformError>> {
    for (let attempt = 1; ; attempt++) {
      const reply = await send(call)
      if (reply.isOk()) return parseReply(dialect.translate(operation, kind, reply.value), schema)
      if (attempt >= tries || call.signal?.aborted === true) return err(reply.error)
      metrics.retried('platformUnavailable')
      await clock.sleep(RETRY_PAUSE_MS, call.signal)
    }
  }

  async function get (kind: string, name: string): Promise<Result<StoredObject | null, PlatformError>> {
    const reply = await read('get', kind, dialect.get(kind, name), storedObject)
    if (reply.isErr() && isNotFound(reply.error)) return ok(null)
    return reply
  }

  async function listAll (kind: string, listOptions: ListOptions): Promise<Result<ObjectPage, PlatformError>> {
    const items: StoredObject[] = []
    let revision: number | undefined
    let after: string | undefined
    do {
      const page = await read('list', kind, dialect.list(kind, { ...listOptions, after }), objectPage)
      if (page.isErr()) return err(page.error)
      items.push(...page.value.items)
      // Events after the first page's revision cover whatever changed while later pages were read.
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
  ): Promise<Result<StoredObject, PlatformError>> {
    const { ifRevision, signal } = putOptions
    const writeId = newWriteId()
    const call = { ...dialect.put(kind, name, { value, writeId, ifRevision }), signal }
    let maybeApplied = false
    for (let attempt = 1; ; attempt++) {
      const reply = await send(call)
      if (reply.isOk()) {
        return await readPutReply(dialect.translate('put', kind, reply.value), {
          kind, name, writeId, value, maybeApplied, readCurrent: async () => await get(kind, name)
        })
      }
      maybeApplied ||= reply.error.maybeApplied
      if (attempt >= WRITE_TRIES || putOptions.signal?.aborted === true) {
        return err(new PlatformUnavailable(reply.error.message, { maybeApplied, cause: reply.error }))
      }
      metrics.retried('platformUnavailable')
      await clock.sleep(RETRY_PAUSE_MS * attempt, putOptions.signal)
    }
  }

  async function putStatus (
    kind: string,
    name: string,
    status: unknown,
    { ifRevision }: PutStatusOptions
  ): Promise<Result<void, PlatformError>> {
    if (dialect.putStatus === undefined) return err(new PlatformRejected(HTTP_NOT_FOUND, 'objects have no status'))
    const call = dialect.putStatus(kind, name, status, ifRevision)
    for (let attempt = 1; ; attempt++) {
      const reply = await send(call)
      if (reply.isOk()) return readRemoveReply(dialect.translate('putStatus', kind, reply.value))
      if (attempt >= WRITE_TRIES) return err(reply.error)
      metrics.retried('platformUnavailable')
      await clock.sleep(RETRY_PAUSE_MS * attempt)
    }
  }

  async function remove (kind: string, name: string, options: RemoveOptions): Promise<Result<void, PlatformError>> {
    const call = dialect.remove(kind, name, options.ifRevision)
    for (let attempt = 1; ; attempt++) {
      const reply = await send(call)
      if (reply.isOk()) return readRemoveReply(dialect.translate('remove', kind, reply.value))
      if (attempt >= WRITE_TRIES) return err(reply.error)
      metrics.retried('platformUnavailable')
      await clock.sleep(RETRY_PAUSE_MS * attempt)
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
    const reply = await read('get', '', { method: 'GET', path: '/v1/instances' }, instanceList)
    return reply.map((list) => list.instances)
  }

  return {
    get: (kind, name) => new ResultAsync(get(kind, name)),
    list: (kind, listOptions = {}) => new ResultAsync(read('list', kind, dialect.list(kind, listOptions), objectPage)),
    listAll: (kind, listOptions = {}) => new ResultAsync(listAll(kind, listOptions)),
    put: (kind, name, value, putOptions) => new ResultAsync(put(kind, name, value, putOptions)),
    putStatus: (kind, name, status, options = {}) => new ResultAsync(putStatus(kind, name, status, options)),
    remove: (kind, name, removeOptions = {}) => new ResultAsync(remove(kind, name, removeOptions)),
    watch: (kind, watchOptions) => new ResultAsync(watch(kind, watchOptions)),
    listInstances: () => new ResultAsync(listInstances()),
    close: async () => await agent.destroy()
  }
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

function parseReply<Schema extends z.ZodType> (reply: Reply, schema: Schema): Result<z.output<Schema>, PlatformError> {
  if (reply.status !== 200) return err(new PlatformRejected(reply.status, JSON.stringify(reply.body)))
  const parsed = schema.safeParse(reply.body)
  if (!parsed.success) return err(new PlatformUnavailable(`unreadable answer: ${parsed.error.message}`))
  return ok(parsed.data)
}

interface PutContext {
  kind: string
  name: string
  writeId: string
  value: unknown
  maybeApplied: boolean
  /** Reads the object that a conflict did not show. */
  readCurrent: () => Promise<Result<StoredObject | null, PlatformError>>
}

async function readPutReply (reply: Reply, context: PutContext): Promise<Result<StoredObject, PlatformError>> {
  const { kind, name, writeId, value, maybeApplied } = context
  if (reply.status !== HTTP_CONFLICT) {
    return parseReply(reply, putReply).map(({ revision }) => ({ kind, name, revision, writeId, value }))
  }
  const conflict = conflictReply.safeParse(reply.body)
  if (!conflict.success) return err(new PlatformUnavailable('unreadable conflict', { maybeApplied: true }))
  let { current } = conflict.data
  if (current === undefined) {
    const found = await context.readCurrent()
    if (found.isErr()) return err(new PlatformUnavailable('conflict with an unknown object', { maybeApplied: true }))
    current = found.value
  }
  if (current?.writeId === writeId) return ok(current)
  return err(new PlatformConflict(current, maybeApplied))
}

function readRemoveReply (reply: Reply): Result<void, PlatformError> {
  if (reply.status === HTTP_CONFLICT) {
    const conflict = conflictReply.safeParse(reply.body)
    return err(new PlatformConflict(conflict.data?.current ?? null, false))
  }
  const isGone = reply.status === 200 || reply.status === 204 || reply.status === HTTP_NOT_FOUND
  return isGone ? ok(undefined) : err(new PlatformRejected(reply.status, JSON.stringify(reply.body)))
}
