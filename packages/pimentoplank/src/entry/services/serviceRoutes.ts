/** Routes `/services/<name>/…`: calls of plain services. */
import { Hono, type Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { RefusalError, type ConfigView, type ServiceEntry } from '../../shared'
import type { AccountLimits } from '../api/accountLimits'
import { TRUNCATED, streamResponse } from '../api/responseStream'
import { refuse } from '../api/problems'
import { readBody } from '../api/requestBody'
import { readOnceKey, readTimeout } from '../api/requestHeaders'
import type { EntryEnv } from '../context'
import { computeContentHash, settleRefusal, type IntentRegistry, type RunPermit, type RecordedAnswer } from '../once'
import type { EntrySettings } from '../settings'
import { toResponseHeaders, toRequestHeaders } from './forwardedHeaders'
import { callService, type ServiceResponse, type ServiceCall, type ServiceDeps } from './serviceCall'

const PREFIX = '/services/'

export interface ServiceRouteDeps extends ServiceDeps {
  settings: EntrySettings
  config: ConfigView
  limits: AccountLimits
  once: IntentRegistry
}

type HttpResponse = Extract<RecordedAnswer, { kind: 'http' }>

interface AcceptedCall {
  call: ServiceCall
  onceKey: string | undefined
}

/** Creates the routes; they expect an authenticated client account in the context. */
export function createServiceRoutes (deps: ServiceRouteDeps): Hono<EntryEnv> {
  const app = new Hono<EntryEnv>()
  app.all(`${PREFIX}:name/*`, async (c) => await serve(c, deps))
  app.all(`${PREFIX}:name`, async (c) => await serve(c, deps))
  return app
}

async function serve (c: Context<EntryEnv>, deps: ServiceRouteDeps): Promise<Response> {
  const admitted = deps.limits.admit(c.get('account'))
  if (admitted.isErr()) return refuse(c, deps, admitted.error)
  const release = admitted.value
  const accepted = await accept(c, deps)
  if (accepted.isErr()) {
    release()
    return refuse(c, deps, accepted.error)
  }
  const { call, onceKey } = accepted.value
  if (onceKey === undefined) return await serveStreamed(c, { ...call, signal: c.req.raw.signal }, release, deps)
  try {
    return await serveOnce(c, call, onceKey, deps)
  } finally {
    release()
  }
}

async function accept (c: Context<EntryEnv>, deps: ServiceRouteDeps): Promise<Result<AcceptedCall, RefusalError>> {
  const name = c.req.param('name') ?? ''
  const service = deps.config.current().services.get(name)
  if (service?.type !== 'plain') {
    return err(new RefusalError('unknownService', { detail: `no plain service ${name} exists`, field: 'name' }))
  }
  const onceKey = readOnceKey(c)
  if (onceKey.isErr()) return err(onceKey.error)
  const timeoutMs = readTimeout(c, deps.settings.deadlines)
  if (timeoutMs.isErr()) return err(timeoutMs.error)
  const body = await readBody(c, deps.settings.maxBodyBytes)
  if (body.isErr()) return err(body.error)
  const { name: account, weight } = c.get('account')
  const call: ServiceCall = {
    service,
    account,
    weight,
    method: c.req.method,
    path: getTargetPath(c.req.url),
    headers: toRequestHeaders(c.req.raw.headers, c.get('requestId')),
    body: body.value,
    timeoutMs: timeoutMs.value,
    isRepeatable: onceKey.value === undefined && isIdempotent(service, c.req.method)
  }
  return ok({ call, onceKey: onceKey.value })
}

async function serveStreamed (
  c: Context<EntryEnv>,
  call: ServiceCall,
  release: () => void,
  deps: ServiceRouteDeps
): Promise<Response> {
  const res = await callService(call, deps)
  if (res.isErr()) {
    release()
    return refuse(c, deps, res.error)
  }
  return forwardResponse(c, res.value, release, deps)
}

function forwardResponse (
  c: Context<EntryEnv>,
  res: ServiceResponse,
  release: () => void,
  deps: ServiceRouteDeps
): Response {
  let isComplete = false
  let isBroken = false
  return streamResponse(c, {
    status: res.status,
    headers: toResponseHeaders(res.headers),
    next: async () => {
      try {
        const { done, value } = await res.body.next()
        isComplete = done === true
        return value
      } catch {
        isBroken = true
        deps.metrics.count('services.cutAnswers')
        return TRUNCATED
      }
    },
    clock: deps.clock,
    stallTimeoutMs: deps.settings.streams.callerStallTimeoutMs,
    onClose: () => {
      // A caller that disconnects is no failure of the target.
      if (isBroken) res.close('failed')
      else res.close(isComplete ? 'done' : 'revoked')
      release()
    }
  })
}

/** Runs an at-most-once call. It continues when its caller disconnects, so that a resend gets the response. */
async function serveOnce (
  c: Context<EntryEnv>,
  call: ServiceCall,
  key: string,
  deps: ServiceRouteDeps
): Promise<Response> {
  const req = { account: call.account, key, contentHash: computeContentHash(call.method, c.req.path, call.body) }
  const found = await deps.once.find(req)
  if (found.isErr()) return refuse(c, deps, found.error)
  const { answer: recorded, revision } = found.value
  if (recorded?.kind === 'http') return renderRecorded(c, recorded)
  let permit: RunPermit | undefined
  const beforeDispatch: ServiceCall['beforeDispatch'] = () =>
    deps.once.open(req, revision).map((opened) => {
      permit = opened
      return undefined
    })
  const res = await runOnce({ ...call, beforeDispatch }, deps)
  if (res.isErr()) {
    settleRefusal(permit, res.error)
    return refuse(c, deps, res.error)
  }
  permit?.settle({ state: 'done', answer: res.value })
  return renderRecorded(c, res.value)
}

async function runOnce (call: ServiceCall, deps: ServiceRouteDeps): Promise<Result<HttpResponse, RefusalError>> {
  const res = await callService(call, deps)
  if (res.isErr()) return err(res.error)
  const { status, headers, body, close } = res.value
  const chunks: Uint8Array[] = []
  let size = 0
  try {
    for (;;) {
      const { done, value } = await body.next()
      if (done === true) break
      chunks.push(value)
      size += value.length
      if (size > deps.settings.maxBodyBytes) throw new Error('response is larger than maxBodyBytes')
    }
  } catch (cause) {
    close('failed')
    return err(new RefusalError('targetFailed', { outcome: 'unknown', detail: 'the answer broke off', cause }))
  }
  close('done')
  return ok({
    kind: 'http',
    status,
    headers: toResponseHeaders(headers),
    body: Buffer.concat(chunks).toString('base64')
  })
}

function renderRecorded (c: Context<EntryEnv>, { status, headers, body }: HttpResponse): Response {
  const all = new Headers()
  for (const [name, value] of Object.entries(headers)) {
    for (const item of [value].flat()) all.append(name, item)
  }
  const bytes = Buffer.from(body, 'base64')
  return c.newResponse(bytes.length === 0 ? null : new Uint8Array(bytes), { status: status as 200, headers: all })
}

function isIdempotent (service: ServiceEntry, method: string): boolean {
  return (service.idempotentMethods as readonly string[]).includes(method)
}

/** Returns the path as the caller sent it, so that escape sequences reach the target unchanged. */
function getTargetPath (url: string): string {
  const { pathname, search } = new URL(url)
  const start = pathname.indexOf('/', PREFIX.length)
  return (start < 0 ? '/' : pathname.slice(start)) + search
}
