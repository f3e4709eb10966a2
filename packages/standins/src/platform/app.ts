/** Routes of the platform stand-in, as specified in docs/reference/platform.md. */
import { Hono, type Context, type MiddlewareHandler } from 'hono'
import { instanceRecord, MIB_BYTES, type WatchBatch } from 'pimentoplank/shared'
import * as z from 'zod'
import { dropConnection, type StandinEnv } from '../shared'
import { platformFaults } from './faults'
import { gateSpec, type GatedCall } from './gates'
import type { WriteOutcome } from './objectStore'
import type { PlatformState } from './platformStandin'
import type { Operation } from './stats'

const MAX_VALUE_BYTES = MIB_BYTES
const DEFAULT_WATCH_WAIT_MS = 30_000
const DEFAULT_WEIGHTS_MB = 1000
const LIST_KIND = '_instances'
const WEIGHTS_KIND = '_weights'

const putBody = z.object({
  value: z.unknown(),
  writeId: z.string().min(1),
  ifRevision: z.int().min(0).optional()
})

type StandinContext = Context<StandinEnv>

const OPERATIONS: Record<string, Operation> = { GET: 'get', PUT: 'put', DELETE: 'remove' }

/** Creates the HTTP application that serves a state. */
export function createPlatformApp (state: PlatformState): Hono<StandinEnv> {
  const app = new Hono<StandinEnv>()
  app.use('/v1/*', createAdmission(state))
  app.get('/v1/objects/:kind/:name', (c) => getObject(state, c))
  app.get('/v1/objects/:kind', (c) => listObjects(state, c))
  app.put('/v1/objects/:kind/:name', async (c) => await putObject(state, c))
  app.delete('/v1/objects/:kind/:name', (c) => removeObject(state, c))
  app.get('/v1/watch/:kind', async (c) => await watchObjects(state, c))
  app.get('/v1/instances', (c) => c.json({ instances: state.listInstances() }))
  app.get('/v1/weights/:model/:version', async (c) => await transferWeights(state, c))
  addControlRoutes(app, state)
  return app
}

function addControlRoutes (app: Hono<StandinEnv>, state: PlatformState): void {
  app.put('/_control/instances/:id', async (c) => {
    const record = instanceRecord.safeParse({ ...await readJson(c) as object, id: c.req.param('id') })
    if (!record.success) return c.json({ error: z.prettifyError(record.error) }, 400)
    state.instances.put(record.data)
    return c.json({})
  })
  app.delete('/_control/instances/:id', (c) => {
    state.instances.remove(c.req.param('id'))
    return c.json({})
  })
  app.patch('/_control/faults', async (c) => {
    const faults = platformFaults.safeParse(await readJson(c))
    if (!faults.success) return c.json({ error: z.prettifyError(faults.error) }, 400)
    state.setFaults(faults.data)
    return c.json(state.faults)
  })
  app.post('/_control/gates', async (c) => {
    const spec = gateSpec.safeParse(await readJson(c))
    if (!spec.success) return c.json({ error: z.prettifyError(spec.error) }, 400)
    return c.json({ id: state.gates.add(spec.data) })
  })
  app.get('/_control/gates/:id', async (c) => c.json({ calls: await state.gates.waitForCalls(c.req.param('id')) }))
  app.delete('/_control/gates/:id', (c) => {
    state.gates.release(c.req.param('id'), c.req.query('action') === 'drop' ? 'drop' : 'go')
    return c.json({})
  })
  app.post('/_control/compact', (c) => {
    state.store.compact()
    return c.json({})
  })
  app.get('/_control/stats', (c) => c.json(state.stats.read()))
  app.delete('/_control/stats', (c) => {
    state.stats.reset()
    return c.json({})
  })
  app.get('/_control/objects/:kind', (c) => c.json({ items: state.store.getAll(c.req.param('kind')) }))
}

/** Creates the middleware that counts calls and applies authentication, rate limits, gates and common faults. */
function createAdmission (state: PlatformState): MiddlewareHandler<StandinEnv> {
  return async (c, next) => {
    const [, , group = '', name = ''] = c.req.path.split('/')
    const { kind, operation } = classify(c.req.method, group, decodeURIComponent(name), c.req.path)
    state.stats.recordCall(kind, operation)
    state.stats.recordBytes(Number(c.req.header('content-length') ?? 0))
    const isWrite = operation === 'put' || operation === 'remove'
    if (state.token !== undefined && c.req.header('authorization') !== `Bearer ${state.token}`) {
      return c.json({ error: 'unauthorized' }, 401)
    }
    if (!(isWrite ? state.writeLimiter : state.readLimiter).tryAcquire()) {
      state.stats.recordRejection()
      return c.json({ error: 'rate exceeded' }, 429)
    }
    if (state.faults.slowMs > 0) await state.clock.sleep(state.faults.slowMs)
    if (state.faults.down) return c.json({ error: 'down' }, 503)
    const call = toGatedCall(c, kind, operation)
    if (await state.gates.waitForRelease(call, 'before') === 'drop') return dropConnection(c)
    await next()
    if (await state.gates.waitForRelease(call, 'after') === 'drop') {
      c.res = undefined
      c.res = dropConnection(c)
      return
    }
    if (isWrite && c.res.status === 200 && state.faults.loseAnswers > 0) {
      state.faults.loseAnswers -= 1
      c.res = undefined
      c.res = dropConnection(c)
    }
  }
}

function toGatedCall (c: StandinContext, kind: string, operation: Operation): GatedCall {
  const name = decodeURIComponent(c.req.path.split('/')[4] ?? '')
  const instance = (c.req.header('user-agent') ?? '').replace(/^pimentoplank\//, '')
  return { kind, operation, name, instance }
}

function classify (method: string, group: string, name: string, path: string): { kind: string, operation: Operation } {
  if (group === 'instances') return { kind: LIST_KIND, operation: 'list' }
  if (group === 'weights') return { kind: WEIGHTS_KIND, operation: 'transfer' }
  if (group === 'watch') return { kind: name, operation: 'watch' }
  const isList = method === 'GET' && path.split('/').length <= 4
  return { kind: name, operation: isList ? 'list' : OPERATIONS[method] ?? 'get' }
}

function getObject (state: PlatformState, c: StandinContext): Response {
  const object = state.getReader().get(c.req.param('kind')!, c.req.param('name')!)
  return object === null ? c.json({ error: 'not found' }, 404) : sendJson(state, c, object)
}

function listObjects (state: PlatformState, c: StandinContext): Response {
  const limit = c.req.query('limit')
  return sendJson(state, c, state.getReader().getPage(c.req.param('kind')!, {
    prefix: c.req.query('prefix'),
    after: c.req.query('after'),
    limit: limit === undefined ? undefined : Number(limit)
  }))
}

async function putObject (state: PlatformState, c: StandinContext): Promise<Response> {
  const body = putBody.safeParse(await readJson(c))
  if (!body.success) return c.json({ error: z.prettifyError(body.error) }, 400)
  const bytes = Buffer.byteLength(JSON.stringify(body.data.value ?? null))
  if (bytes > MAX_VALUE_BYTES) return c.json({ error: 'value too large', maxBytes: MAX_VALUE_BYTES }, 413)
  const outcome = state.store.put(c.req.param('kind')!, c.req.param('name')!, body.data, bytes)
  return sendWriteOutcome(state, c, outcome)
}

function removeObject (state: PlatformState, c: StandinContext): Response {
  const ifRevision = c.req.query('ifRevision')
  const outcome = state.store.remove(
    c.req.param('kind')!, c.req.param('name')!, ifRevision === undefined ? undefined : Number(ifRevision))
  return sendWriteOutcome(state, c, outcome)
}

function sendWriteOutcome (state: PlatformState, c: StandinContext, outcome: WriteOutcome): Response {
  if (outcome.type === 'done') return c.json({ revision: outcome.revision })
  if (outcome.type === 'notFound') return c.json({ error: 'not found' }, 404)
  return sendJson(state, c, { current: outcome.current }, 409)
}

async function watchObjects (state: PlatformState, c: StandinContext): Promise<Response> {
  state.stats.recordWatchStart()
  try {
    const batch = await waitForEvents(state, c)
    return batch === undefined ? c.json({ error: 'down' }, 503) : sendJson(state, c, batch)
  } finally {
    state.stats.recordWatchEnd()
  }
}

/**
 * Waits for events until the requested time is over or the client disconnects.
 *
 * @returns undefined when the store goes down
 */
async function waitForEvents (state: PlatformState, c: StandinContext): Promise<WatchBatch | undefined> {
  const kind = c.req.param('kind')!
  const prefix = c.req.query('prefix') ?? ''
  let since = Number(c.req.query('since') ?? 0)
  const deadline = state.clock.now() + Number(c.req.query('waitMs') ?? DEFAULT_WATCH_WAIT_MS)
  for (;;) {
    if (state.faults.down) return undefined
    const batch = state.getReader().getEventsAfter(kind, since, prefix)
    const remaining = deadline - state.clock.now()
    const isDone = batch.events.length > 0 || batch.compacted === true
    if (isDone || remaining <= 0 || c.req.raw.signal.aborted) return batch
    since = batch.revision
    await waitForChange(state, kind, remaining, c.req.raw.signal)
  }
}

async function waitForChange (
  state: PlatformState,
  kind: string,
  ms: number,
  disconnected: AbortSignal
): Promise<void> {
  const wake = new AbortController()
  const unsubscribe = state.store.onChange(kind, () => wake.abort())
  const onDisconnect = (): void => wake.abort()
  disconnected.addEventListener('abort', onDisconnect)
  await state.clock.sleep(ms, wake.signal)
  disconnected.removeEventListener('abort', onDisconnect)
  unsubscribe()
}

async function transferWeights (state: PlatformState, c: StandinContext): Promise<Response> {
  const megabytes = Number(c.req.query('mb') ?? DEFAULT_WEIGHTS_MB)
  const isDone = await state.weights.transfer(megabytes)
  if (isDone) return c.json({ megabytes })
  state.stats.recordRejection()
  return c.json({ error: 'too many transfers' }, 429)
}

function sendJson (state: PlatformState, c: StandinContext, body: unknown, status: 200 | 409 = 200): Response {
  const text = JSON.stringify(body)
  state.stats.recordBytes(text.length)
  return c.body(text, status, { 'content-type': 'application/json' })
}

async function readJson (c: StandinContext): Promise<unknown> {
  return await c.req.json().catch(() => undefined)
}
