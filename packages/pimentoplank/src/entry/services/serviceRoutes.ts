/** `/services/<name>/…`: calls of plain services. */
import { Hono, type Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { RefusalError, type ConfigView, type ServiceEntry } from '../../shared'
import type { AccountLimits } from '../api/accountLimits'
import { CUT, streamAnswer } from '../api/answerStream'
import { refuse } from '../api/problems'
import { readBody } from '../api/requestBody'
import { readOnceKey, readTimeout } from '../api/requestHeaders'
import type { EntryEnv } from '../context'
import { contentHashOf, settleRefused, type OnceRecords, type OnceTicket, type RecordedAnswer } from '../once'
import type { EntrySettings } from '../settings'
import { answerHeadersFor, requestHeadersFor } from './forwardedHeaders'
import { callService, type ServiceAnswer, type ServiceCall, type ServiceDeps } from './serviceCall'

const PREFIX = '/services/'

export interface ServiceRouteDeps extends ServiceDeps {
  settings: EntrySettings
  config: ConfigView
  limits: AccountLimits
  once: OnceRecords
}

type HttpAnswer = Extract<RecordedAnswer, { kind: 'http' }>

interface Accepted {
  call: ServiceCall
  onceKey: string | undefined
}

/** Creates the routes; the caller account is already known. */
export function createServiceRoutes (deps: ServiceRouteDeps): Hono<EntryEnv> {
  const app = new Hono<EntryEnv>()
  app.all(`${PREFIX}:name/*`, async (c) => await serve(c, deps))
  app.all(`${PREFIX}:name`, async (c) => await serve(c, deps))
  return app
}

async function serve (c: Context<EntryEnv>, deps: ServiceRouteDeps): Promise<Response> {
  const entered = deps.limits.enter(c.get('account'))
  if (entered.isErr()) return refuse(c, deps, entered.error)
  const leave = entered.value
  const accepted = await accept(c, deps)
  if (accepted.isErr()) {
    leave()
    return refuse(c, deps, accepted.error)
  }
  const { call, onceKey } = accepted.value
  if (onceKey === undefined) return await serveStreamed(c, { ...call, signal: c.req.raw.signal }, leave, deps)
  try {
    return await serveOnce(c, call, onceKey, deps)
  } finally {
    leave()
  }
}

async function accept (c: Context<EntryEnv>, deps: ServiceRouteDeps): Promise<Result<Accepted, RefusalError>> {
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
    path: targetPathOf(c.req.url),
    headers: requestHeadersFor(c.req.raw.headers, c.get('requestId')),
    body: body.value,
    timeoutMs: timeoutMs.value,
    repeatable: onceKey.value === undefined && isIdempotent(service, c.req.method)
  }
  return ok({ call, onceKey: onceKey.value })
}

async function serveStreamed (
  c: Context<EntryEnv>,
  call: ServiceCall,
  leave: () => void,
  deps: ServiceRouteDeps
): Promise<Response> {
  const answer = await callService(call, deps)
  if (answer.isErr()) {
    leave()
    return refuse(c, deps, answer.error)
  }
  return passOn(c, answer.value, leave, deps)
}

function passOn (c: Context<EntryEnv>, answer: ServiceAnswer, leave: () => void, deps: ServiceRouteDeps): Response {
  let isWhole = false
  return streamAnswer(c, {
    status: answer.status,
    headers: answerHeadersFor(answer.headers),
    next: async () => {
      try {
        const { done, value } = await answer.body.next()
        isWhole = done === true
        return value
      } catch {
        deps.metrics.count('services.cutAnswers')
        return CUT
      }
    },
    clock: deps.clock,
    stallTimeoutMs: deps.settings.streams.callerStallTimeoutMs,
    onClose: () => {
      answer.close(isWhole ? 'done' : 'failed')
      leave()
    }
  })
}

/** Runs a call that must not be repeated. It goes on when its caller leaves, so that a resend gets the answer. */
async function serveOnce (
  c: Context<EntryEnv>,
  call: ServiceCall,
  key: string,
  deps: ServiceRouteDeps
): Promise<Response> {
  const req = { account: call.account, key, contentHash: contentHashOf(call.method, c.req.path, call.body) }
  const found = await deps.once.find(req)
  if (found.isErr()) return refuse(c, deps, found.error)
  const { answer: recorded, revision } = found.value
  if (recorded?.kind === 'http') return renderWhole(c, recorded)
  let ticket: OnceTicket | undefined
  const beforeDispatch: ServiceCall['beforeDispatch'] = () =>
    deps.once.open(req, revision).map((opened) => {
      ticket = opened
      return undefined
    })
  const answer = await runOnce({ ...call, beforeDispatch }, deps)
  if (answer.isErr()) {
    settleRefused(ticket, answer.error)
    return refuse(c, deps, answer.error)
  }
  ticket?.settle({ state: 'done', answer: answer.value })
  return renderWhole(c, answer.value)
}

async function runOnce (call: ServiceCall, deps: ServiceRouteDeps): Promise<Result<HttpAnswer, RefusalError>> {
  const answer = await callService(call, deps)
  if (answer.isErr()) return err(answer.error)
  const { status, headers, body, close } = answer.value
  const chunks: Uint8Array[] = []
  let size = 0
  try {
    for (;;) {
      const { done, value } = await body.next()
      if (done === true) break
      chunks.push(value)
      size += value.length
      if (size > deps.settings.maxBodyBytes) throw new Error('the answer is too large')
    }
  } catch (cause) {
    close('failed')
    return err(new RefusalError('targetFailed', { outcome: 'unknown', detail: 'the answer broke off', cause }))
  }
  close('done')
  return ok({ kind: 'http', status, headers: answerHeadersFor(headers), body: Buffer.concat(chunks).toString('base64') })
}

function renderWhole (c: Context<EntryEnv>, { status, headers, body }: HttpAnswer): Response {
  const all = new Headers()
  for (const [name, value] of Object.entries(headers)) {
    for (const one of [value].flat()) all.append(name, one)
  }
  const bytes = Buffer.from(body, 'base64')
  return c.newResponse(bytes.length === 0 ? null : new Uint8Array(bytes), { status: status as 200, headers: all })
}

function isIdempotent (service: ServiceEntry, method: string): boolean {
  return (service.idempotentMethods as readonly string[]).includes(method)
}

/** The path as the caller wrote it, so that escapes reach the target unchanged. */
function targetPathOf (url: string): string {
  const { pathname, search } = new URL(url)
  const start = pathname.indexOf('/', PREFIX.length)
  return (start < 0 ? '/' : pathname.slice(start)) + search
}
