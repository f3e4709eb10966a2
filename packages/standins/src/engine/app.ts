/** Routes of the engine stand-in, as specified in docs/reference/engine.md. */
import type { ServerResponse } from 'node:http'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono, type Context, type MiddlewareHandler } from 'hono'
import { v4 as uuid } from 'uuid'
import * as z from 'zod'
import { neverRespond, type StandinEnv } from '../shared'
import type { EngineInternals } from './engineStandin'
import { engineFaults } from './faults'
import { engineOrder } from './modelRegistry'
import type { Stream, StreamReader, StreamRequest } from './stream'
import { createBodyWriter, createEventWriter, type StreamWriter, type WriterOptions } from './streamWriter'
import { computeAnswer, getPrompt } from './answer'

const DEFAULT_MAX_TOKENS = 16

const completionBody = z.object({
  model: z.string().min(1),
  max_tokens: z.int().min(1).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
  resume: z.object({
    stream_id: z.string().optional(),
    tokens: z.int().min(0),
    text: z.string().default('')
  }).optional()
})
type CompletionBody = z.infer<typeof completionBody>

type EngineContext = Context<StandinEnv>

/** Creates the HTTP application that serves one engine. */
export function createEngineApp (engine: EngineInternals): Hono<StandinEnv> {
  const app = new Hono<StandinEnv>()
  app.use('/v1/*', createSilenceGuard(engine))
  app.post('/v1/chat/completions', async (c) => await complete(engine, c, 'chat'))
  app.post('/v1/completions', async (c) => await complete(engine, c, 'completion'))
  app.get('/v1/streams/:id', (c) => attach(engine, c))
  app.delete('/v1/streams/:id', (c) => {
    engine.scheduler.cancel(c.req.param('id'))
    return c.body(null, 204)
  })
  app.get('/v1/load', (c) => c.json(engine.getLoadReport()))
  app.get('/v1/state', (c) => c.json(engine.getState()))
  app.post('/v1/orders', async (c) => await handleOrder(engine, c))
  app.get('/v1/cache-events', (c) => c.json({ events: engine.cache.getEvents(Number(c.req.query('after') ?? 0)) }))
  app.get('/_control/runs', (c) => c.json({ runs: engine.runLog.getRuns() }))
  app.get('/_control/orders', (c) => c.json({ orders: engine.models.getOrders() }))
  app.patch('/_control/faults', async (c) => {
    const faults = engineFaults.safeParse(await readJson(c))
    if (!faults.success) return refuse(c, 400, 'invalid', z.prettifyError(faults.error))
    engine.setFaults(faults.data)
    return c.json(engine.faults)
  })
  return app
}

function createSilenceGuard (engine: EngineInternals): MiddlewareHandler<StandinEnv> {
  return async (c, next) => {
    await engine.waitUntilThawed()
    if (engine.isSilent(c.env.incoming.socket)) await neverRespond()
    await next()
  }
}

async function complete (engine: EngineInternals, c: EngineContext, kind: StreamRequest['kind']): Promise<Response> {
  const raw = await readJson(c)
  const body = completionBody.safeParse(raw)
  const prompt = getPrompt(raw)
  if (!body.success) return refuse(c, 400, 'invalid', z.prettifyError(body.error))
  if (prompt === undefined) return refuse(c, 400, 'invalid', 'prompt or messages missing')
  if (!isValidResume(body.data, prompt)) return refuse(c, 400, 'invalid', 'resume.text is not the start of the answer')
  if (engine.faults.leaving === true) return refuse(c, 503, 'leaving')
  const modelKey = engine.models.findModelKey(body.data.model)
  if (modelKey === undefined) return refuse(c, 404, 'model_not_loaded')
  if (engine.faults.busy === true) return refuse(c, 429, 'busy')
  if (typeof engine.faults.failOn === 'string' && prompt.includes(engine.faults.failOn)) return refuse(c, 500, 'failed')
  const writer = createWriter(engine, c, body.data.stream ? createEventWriter : createBodyWriter)
  const stream = engine.scheduler.submit(
    createStreamRequest(engine, c, { body: body.data, prompt, kind, modelKey }), writer)
  writer.open(stream)
  return detachOnClose(engine, c, stream, writer)
}

interface AcceptedRequest {
  body: CompletionBody
  prompt: string
  kind: StreamRequest['kind']
  modelKey: string
}

function createStreamRequest (engine: EngineInternals, c: EngineContext, accepted: AcceptedRequest): StreamRequest {
  const { body, prompt, kind, modelKey } = accepted
  const resumedId = body.resume?.stream_id
  return {
    requestId: c.req.header('x-request-id') ?? uuid(),
    prompt,
    model: body.model,
    modelKey,
    maxTokens: body.max_tokens,
    kind,
    receivedTokens: body.resume?.tokens ?? 0,
    hasResumableState: resumedId !== undefined && engine.scheduler.cancelForResume(resumedId)
  }
}

function isValidResume (body: CompletionBody, prompt: string): boolean {
  const { resume } = body
  if (resume === undefined) return true
  return resume.tokens <= body.max_tokens && resume.text === computeAnswer(prompt, resume.tokens)
}

function attach (engine: EngineInternals, c: EngineContext): Response {
  const stream = engine.scheduler.findStream(c.req.param('id')!)
  if (stream === undefined) return refuse(c, 404, 'unknown_stream')
  const from = Number(c.req.query('from') ?? 0)
  const writer = createWriter(engine, c, createEventWriter)
  writer.open(stream)
  for (let index = from; index < stream.tokens; index++) writer.onToken(index, stream.getToken(index))
  stream.gracePeriod?.abort()
  stream.readers.add(writer)
  return detachOnClose(engine, c, stream, writer)
}

function createWriter (
  engine: EngineInternals,
  c: EngineContext,
  create: (options: WriterOptions) => StreamWriter
): StreamWriter {
  const { socket } = c.env.incoming
  return create({
    res: c.env.outgoing as ServerResponse,
    isSilent: () => engine.isSilent(socket),
    getFaults: () => engine.faults,
    getSoftwareVersion: engine.getSoftwareVersion
  })
}

function detachOnClose (engine: EngineInternals, c: EngineContext, stream: Stream, reader: StreamReader): Response {
  const onClose = (): void => engine.scheduler.detach(stream, reader)
  if (c.env.outgoing.closed) onClose()
  else c.env.outgoing.once('close', onClose)
  return RESPONSE_ALREADY_SENT
}

async function handleOrder (engine: EngineInternals, c: EngineContext): Promise<Response> {
  if (engine.faults.refuseOrders === true) return refuse(c, 503, 'orders_refused')
  const order = engineOrder.safeParse(await readJson(c))
  if (!order.success) return refuse(c, 400, 'invalid', z.prettifyError(order.error))
  const outcome = engine.models.applyOrder(order.data)
  if (outcome.type === 'fenced') return c.json({ error: 'fenced', highest: outcome.highest }, 409)
  if (outcome.type === 'invalid') return refuse(c, 400, 'invalid', outcome.message)
  return c.json({ accepted: true }, 202)
}

function refuse (c: EngineContext, status: 400 | 404 | 429 | 500 | 503, code: string, message?: string): Response {
  return c.json({ error: { code, message } }, status)
}

async function readJson (c: EngineContext): Promise<unknown> {
  return await c.req.json().catch(() => undefined)
}
