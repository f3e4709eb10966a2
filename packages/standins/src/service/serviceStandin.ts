/** Stand-in for a plain service, which records its runs by request key. */
import type { ServerResponse } from 'node:http'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono, type Context, type MiddlewareHandler } from 'hono'
import { createSystemClock, type BodyFraming, type Clock, type InstanceRecord } from 'pimentoplank/shared'
import { v4 as uuid } from 'uuid'
import * as z from 'zod'
import {
  breakOffResponse, createRestartableServer, dropConnection, neverRespond, registerInstance, deregisterInstance,
  setFraming,
  type ListenOptions, type StandinEnv, type StandinServer
} from '../shared'

const MAX_SLOW_MS = 60_000
const HOLD_POLL_MS = 5

export interface ServiceStandinOptions extends ListenOptions {
  clock?: Clock
  /** ID in the instance list. */
  id?: string
  service?: string
  failureDomain?: string
  region?: string
  /** URL of the platform stand-in, where the service registers itself. */
  platform?: string
}

export const serviceFaults = z.strictObject({
  /** Number of upcoming calls that run, but whose connection is closed before the response. */
  dieAfterRun: z.int().min(0),
  /** Delay before each call runs, in milliseconds. */
  delayMs: z.number().min(0),
  /** Blocks calls before or after they run, until the fault is switched off. */
  hold: z.enum(['before', 'after']).nullable(),
  /** Calls get no response, and their connections stay open. */
  silent: z.boolean(),
  /** Responds to every call with this status without running it; 0 switches the fault off. */
  status: z.int().min(0).max(599),
  /** Responds to every call with 503 `leaving` without running it. */
  leaving: z.boolean(),
  /** How responses define the end of their bodies; null for the usual way. */
  framing: z.enum(['length', 'chunks', 'connection']).nullable(),
  /** Breaks off responses within their bodies; by default, none. */
  breakOff: z.strictObject({
    /** Number of upcoming responses that break off. */
    count: z.int().min(0),
    /** Number of bytes of the body that are sent. */
    bytes: z.int().min(0),
    /** Closes the connection in an orderly way, or resets it together with the last bytes. */
    by: z.enum(['close', 'reset'])
  })
}).partial()
export type ServiceFaults = z.infer<typeof serviceFaults>

export interface ServiceRun {
  /** Value of `Idempotency-Key`, else of `X-Request-Id`, else a generated one. */
  key: string
  method: string
  path: string
  /** Request body, as text. */
  body: string
  outcome: 'done' | 'dropped'
}

export interface ServiceStandin {
  /** Starts listening and registers the instance when a platform is configured. */
  start: () => Promise<StandinServer>
  close: () => Promise<void>
  setFaults: (faults: ServiceFaults) => void
  getRuns: () => ServiceRun[]
  getInstanceRecord: () => InstanceRecord
}

interface ServiceState {
  clock: Clock
  faults: ServiceFaults
  runs: ServiceRun[]
  /** Number of calls currently blocked by `hold`. */
  held: number
}

/** Creates a stand-in; call `start` to listen. */
export function createServiceStandin (options: ServiceStandinOptions = {}): ServiceStandin {
  const state: ServiceState = { clock: options.clock ?? createSystemClock(), faults: {}, runs: [], held: 0 }
  const server = createRestartableServer(createServiceApp(state), options)
  const id = options.id ?? 'service-0'

  function createRecord (): InstanceRecord {
    return {
      id,
      role: 'service',
      service: options.service ?? 'bookings',
      address: server.getAddress(),
      failureDomain: options.failureDomain ?? 'rum-a',
      region: options.region ?? 'jo-south',
      state: 'live'
    }
  }

  async function start (): Promise<StandinServer> {
    const started = await server.start()
    if (options.platform !== undefined) await registerInstance(options.platform, createRecord())
    return { ...started, close }
  }

  async function close (): Promise<void> {
    await server.close()
    if (options.platform !== undefined) await deregisterInstance(options.platform, id).catch(() => undefined)
  }

  return {
    start,
    close,
    setFaults: (faults) => Object.assign(state.faults, faults),
    getRuns: () => structuredClone(state.runs),
    getInstanceRecord: createRecord
  }
}

function createServiceApp (state: ServiceState): Hono<StandinEnv> {
  const app = new Hono<StandinEnv>()
  app.get('/_control/runs', (c) => c.json({ runs: state.runs, held: state.held }))
  app.patch('/_control/faults', async (c) => {
    const faults = serviceFaults.safeParse(await c.req.json().catch(() => undefined))
    if (!faults.success) return c.json({ error: z.prettifyError(faults.error) }, 400)
    Object.assign(state.faults, faults.data)
    return c.json(state.faults)
  })
  app.use('*', applyFaults(state))
  app.post('/bookings', async (c) => {
    await recordRun(state, c)
    return c.json({ booking: uuid(), runs: state.runs.length }, 201)
  })
  app.get('/availability', async (c) => {
    await recordRun(state, c)
    return c.json({ available: true, query: c.req.query() })
  })
  app.put('/items/:id', async (c) => {
    await recordRun(state, c)
    return c.json({ id: c.req.param('id') })
  })
  app.get('/slow', async (c) => {
    const ms = Math.min(Number(c.req.query('ms') ?? 0), MAX_SLOW_MS)
    await recordRun(state, c)
    await state.clock.sleep(ms)
    return c.json({ ms })
  })
  return app
}

function applyFaults (state: ServiceState): MiddlewareHandler<StandinEnv> {
  return async (c, next) => {
    const { faults } = state
    if (faults.silent === true) await neverRespond()
    if (faults.leaving === true) return c.json({ error: { code: 'leaving' } }, 503)
    if (faults.status !== undefined && faults.status > 0) return c.json({ error: {} }, faults.status as 500)
    if (faults.delayMs !== undefined && faults.delayMs > 0) await state.clock.sleep(faults.delayMs)
    await waitWhileHeld(state, 'before')
    await next()
    await waitWhileHeld(state, 'after')
    if ((faults.dieAfterRun ?? 0) > 0) {
      faults.dieAfterRun! -= 1
      state.runs.at(-1)!.outcome = 'dropped'
      c.res = undefined
      c.res = dropConnection(c)
    }
    if (faults.framing !== undefined && faults.framing !== null) await sendFramed(c, faults.framing, faults.breakOff)
  }
}

async function sendFramed (
  c: Context<StandinEnv>,
  framing: BodyFraming,
  breakOff: ServiceFaults['breakOff']
): Promise<void> {
  const body = Buffer.from(await c.res.arrayBuffer())
  const res = c.env.outgoing as ServerResponse
  setFraming(res, framing, body.length)
  res.statusCode = c.res.status
  res.setHeader('Content-Type', 'application/json')
  c.res = undefined
  c.res = RESPONSE_ALREADY_SENT
  if (breakOff === undefined || breakOff.count === 0) {
    res.end(body)
    return
  }
  breakOff.count -= 1
  breakOffResponse(res, body.subarray(0, breakOff.bytes), breakOff.by)
}

async function waitWhileHeld (state: ServiceState, when: 'before' | 'after'): Promise<void> {
  state.held += 1
  while (state.faults.hold === when) await state.clock.sleep(HOLD_POLL_MS)
  state.held -= 1
}

async function recordRun (state: ServiceState, c: Context<StandinEnv>): Promise<void> {
  const body = await c.req.text()
  const key = c.req.header('idempotency-key') ?? c.req.header('x-request-id') ?? uuid()
  state.runs.push({ key, method: c.req.method, path: c.req.path, body, outcome: 'done' })
}
