/** Client of model engines; docs/reference/engine.md specifies their API. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import * as z from 'zod'
import { createSystemClock, TIMED_OUT, withTimeLimit, type Clock } from '../clock'
import { SECOND_MS } from '../constants'
import { describeCause } from '../errors'
import type { Target } from '../membership'
import { createTargetAgent, readLimitedBody, type SendMark } from '../targetHttp'
import { createEngineStream } from './engineStream'
import { isStatedVersion } from './softwareVersion'
import {
  EngineError, type EngineClient, type EngineErrorKind, type EngineRequest, type EngineStartOptions, type EngineStream,
  type ResumePoint
} from './types'

const DEFAULT_FIRST_TOKEN_TIMEOUT_MS = 10 * SECOND_MS
const DEFAULT_TOKEN_GAP_TIMEOUT_MS = 2 * SECOND_MS
const DEFAULT_CONTROL_TIMEOUT_MS = SECOND_MS
const HTTP_OK = 200
const HTTP_NOT_FOUND = 404
const HTTP_SERVER_ERROR = 500
const STREAM_ID_HEADER = 'x-stream-id'
const SOFTWARE_VERSION_HEADER = 'x-software-version'
const PROBE_PATH = '/v1/load'
const PATHS = { chat: '/v1/chat/completions', completion: '/v1/completions' } as const

/** Error codes with which an engine refuses a request before it runs any of it. */
const REFUSAL_KINDS: Readonly<Record<string, EngineErrorKind>> = {
  leaving: 'targetLeaving',
  busy: 'targetBusy',
  model_not_loaded: 'modelNotLoaded',
  invalid: 'rejected'
}

const errorBody = z.object({ error: z.object({ code: z.string().nullish(), message: z.string().nullish() }) })

export interface EngineClientOptions {
  /** Maximum time until the first token, in milliseconds. */
  firstTokenTimeoutMs?: number
  /** Maximum time between tokens, in milliseconds. */
  tokenGapTimeoutMs?: number
  connectTimeoutMs?: number
  /** Timeout of a cancellation or a probe, in milliseconds. */
  controlTimeoutMs?: number
  clock?: Clock
}

interface Call {
  method: 'GET' | 'POST'
  path: string
  body?: unknown
  firstIndex: number
}

type ControlResult = 'answered' | 'silent' | 'broken' | 'notConnected'

/** Creates a client with its own connection pool; live and batch work use separate clients. */
export function createEngineClient (options: EngineClientOptions = {}): EngineClient {
  const clock = options.clock ?? createSystemClock()
  const tokenGapTimeoutMs = options.tokenGapTimeoutMs ?? DEFAULT_TOKEN_GAP_TIMEOUT_MS
  const controlTimeoutMs = options.controlTimeoutMs ?? DEFAULT_CONTROL_TIMEOUT_MS
  const agent = createTargetAgent({ connectTimeoutMs: options.connectTimeoutMs })

  async function start (
    target: Target,
    req: EngineRequest,
    startOptions: EngineStartOptions
  ): Promise<Result<EngineStream, EngineError>> {
    const { resume } = req
    if (resume?.targetId === target.id) {
      const attached = await open(target, req, createAttachCall(resume), startOptions)
      const isUnknownStream = attached.isErr() && attached.error.status === HTTP_NOT_FOUND
      if (!isUnknownStream || req.attachOnly === true) return attached
    }
    return await open(target, req, createRunCall(target, req), startOptions)
  }

  async function open (
    target: Target,
    { requestId, resume }: EngineRequest,
    call: Call,
    startOptions: EngineStartOptions
  ): Promise<Result<EngineStream, EngineError>> {
    const firstTokenTimeoutMs = startOptions.firstTokenTimeoutMs ??
      options.firstTokenTimeoutMs ?? DEFAULT_FIRST_TOKEN_TIMEOUT_MS
    const startedAt = clock.now()
    const connection = new AbortController()
    const signal = startOptions.signal === undefined
      ? connection.signal
      : AbortSignal.any([connection.signal, startOptions.signal])
    const mark: SendMark = { sent: false }
    try {
      const res = await withTimeLimit(clock, firstTokenTimeoutMs, agent.request({
        address: target.address,
        path: call.path,
        method: call.method,
        headers: { 'content-type': 'application/json', 'x-request-id': requestId },
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        signal,
        mark
      }))
      if (res === TIMED_OUT) {
        connection.abort()
        return err(new EngineError('streamSilent', { reached: mark.sent, detail: 'no answer in time' }))
      }
      if (res.statusCode !== HTTP_OK) return err(await readErrorResponse(res, clock))
      const streamId = getHeader(res, STREAM_ID_HEADER)
      const softwareVersion = getHeader(res, SOFTWARE_VERSION_HEADER) || undefined
      if (resume !== undefined && resume.tokens > 0 && !isStatedVersion(resume.softwareVersion, softwareVersion)) {
        connection.abort()
        cancelStream(target, streamId).catch(() => undefined)
        return err(new EngineError('otherVersion', { reached: true, detail: `software version ${softwareVersion}` }))
      }
      return ok(createEngineStream({
        body: res.body,
        streamId,
        softwareVersion,
        firstIndex: call.firstIndex,
        clock,
        firstTokenTimeoutMs: firstTokenTimeoutMs - (clock.now() - startedAt),
        tokenGapTimeoutMs,
        signal: startOptions.signal,
        disconnect: () => connection.abort(),
        cancelOnEngine: async () => await cancelStream(target, streamId)
      }))
    } catch (cause) {
      return err(toStartError(cause, mark, startOptions.signal))
    }
  }

  async function cancelStream (target: Target, streamId: string): Promise<void> {
    if (streamId === '') return
    await callControl(target, 'DELETE', `/v1/streams/${encodeURIComponent(streamId)}`)
  }

  /** Sends a call without a body; resolves with its result once it ends or `controlTimeoutMs` passes. */
  async function callControl (target: Target, method: 'GET' | 'DELETE', path: string): Promise<ControlResult> {
    const connection = new AbortController()
    const mark: SendMark = { sent: false }
    const call = agent.request({ address: target.address, path, method, signal: connection.signal, mark })
      .then(async (res): Promise<ControlResult> => {
        await res.body.dump()
        return 'answered'
      })
      .catch((): ControlResult => mark.sent ? 'broken' : 'notConnected')
    const result = await withTimeLimit(clock, controlTimeoutMs, call)
    if (result !== TIMED_OUT) return result
    connection.abort()
    return mark.sent ? 'silent' : 'notConnected'
  }

  async function probe (target: Target): Promise<boolean> {
    const first = await callControl(target, 'GET', PROBE_PATH)
    // A broken call may have used a pooled connection from before a crash, so it is sent once more.
    const result = first === 'broken' ? await callControl(target, 'GET', PROBE_PATH) : first
    return result === 'answered' || result === 'silent'
  }

  return {
    start: (target, req, startOptions = {}) => new ResultAsync(start(target, req, startOptions)),
    probe,
    close: async () => await agent.close()
  }
}

function createAttachCall (resume: ResumePoint): Call {
  const path = `/v1/streams/${encodeURIComponent(resume.streamId)}?from=${resume.tokens}`
  return { method: 'GET', path, firstIndex: resume.tokens }
}

function createRunCall (target: Target, req: EngineRequest): Call {
  const { resume } = req
  const body = { ...req.body, stream: true, ...(resume === undefined ? {} : { resume: toResumeBody(target, resume) }) }
  return { method: 'POST', path: PATHS[req.kind], body, firstIndex: resume?.tokens ?? 0 }
}

function toResumeBody (target: Target, resume: ResumePoint): Record<string, unknown> {
  const { tokens, text } = resume
  return resume.targetId === target.id ? { stream_id: resume.streamId, tokens, text } : { tokens, text }
}

function toStartError (cause: unknown, mark: SendMark, signal: AbortSignal | undefined): EngineError {
  const detail = describeCause(cause)
  if (signal?.aborted === true) return new EngineError('aborted', { reached: mark.sent, detail, cause })
  if (!mark.sent) return new EngineError('connectFailed', { reached: false, detail, cause })
  return new EngineError('streamCut', { reached: true, detail, cause })
}

async function readErrorResponse (res: Dispatcher.ResponseData, clock: Clock): Promise<EngineError> {
  const status = res.statusCode
  const parsed = errorBody.safeParse(parseJson(await readLimitedBody(res.body, clock)))
  const error = parsed.success ? parsed.data.error : undefined
  const kind = REFUSAL_KINDS[error?.code ?? '']
  const detail = error?.message ?? error?.code ?? `status ${status}`
  if (kind !== undefined) return new EngineError(kind, { reached: false, status, detail })
  return new EngineError(status < HTTP_SERVER_ERROR ? 'rejected' : 'targetError', { reached: true, status, detail })
}

function parseJson (bytes: Uint8Array | undefined): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}

function getHeader (res: Dispatcher.ResponseData, name: string): string {
  const value = res.headers[name]
  return Array.isArray(value) ? value[0] ?? '' : value ?? ''
}
