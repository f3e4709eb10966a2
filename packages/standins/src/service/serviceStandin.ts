/** The stand-in for a plain service, which counts its runs by request key. */
import { Hono, type Context, type MiddlewareHandler } from 'hono'
import { createSystemClock, type Clock, type InstanceRecord } from 'pimentoplank/shared'
import { v4 as uuid } from 'uuid'
import { z } from 'zod'
import {
  createRestartableServer, dropConnection, neverAnswer, putInstance, removeInstance,
  type ListenOptions, type StandinEnv, type StandinServer
} from '../shared'

const MAX_SLOW_MS = 60_000
const HOLD_CHECK_MS = 5

export interface ServiceStandinOptions extends ListenOptions {
  clock?: Clock
  /** Id in the instance list. */
  id?: string
  service?: string
  failureDomain?: string
  region?: string
  /** URL of the platform stand-in, where the service lists itself. */
  platform?: string
}

export const serviceFaults = z.strictObject({
  /** The next calls run, but their connection breaks before the answer. */
  dieAfterRun: z.int().min(0),
  /** Each call waits this long before it runs, in milliseconds. */
  delayMs: z.number().min(0),
  /** Calls are held before or after they ran, until the switch is taken back. */
  hold: z.enum(['before', 'after']).nullable(),
  /** Calls get no answer, and their connections stay open. */
  silent: z.boolean(),
  /** Answer every call with this status, without running it; 0 takes the switch back. */
  status: z.int().min(0).max(599),
  /** Answer every call with 503 `leaving`, without running it. */
  leaving: z.boolean()
}).partial()
export type ServiceFaults = z.infer<typeof serviceFaults>

export interface ServiceRun {
  /** `Idempotency-Key`, else `X-Request-Id`. */
  key: string
  method: string
  path: string
  /** Body of the request, as text. */
  body: string
  outcome: 'done' | 'dropped'
}

export interface ServiceStandin {
  /** Starts listening, and lists itself when it knows the platform. */
  start: () => Promise<StandinServer>
  close: () => Promise<void>
  setFaults: (faults: ServiceFaults) => void
  runs: () => ServiceRun[]
  record: () => InstanceRecord
}

interface ServiceState {
  clock: Clock
  faults: ServiceFaults
  runs: ServiceRun[]
  /** Calls that are held now. */
  held: number
}

/** Creates a stand-in that does not listen yet. */
export function createServiceStandin (options: ServiceStandinOptions = {}): ServiceStandin {
  const state: ServiceState = { clock: options.clock ?? createSystemClock(), faults: {}, runs: [], held: 0 }
  const server = createRestartableServer(createServiceApp(state), options)
  const id = options.id ?? 'service-0'

  function record (): InstanceRecord {
    return {
      id,
      role: 'service',
      service: options.service ?? 'bookings',
      address: server.address(),
      failureDomain: options.failureDomain ?? 'rum-a',
      region: options.region ?? 'jo-south',
      state: 'live'
    }
  }

  async function start (): Promise<StandinServer> {
    const started = await server.start()
    if (options.platform !== undefined) await putInstance(options.platform, record())
    return { ...started, close }
  }

  async function close (): Promise<void> {
    await server.close()
    if (options.platform !== undefined) await removeInstance(options.platform, id).catch(() => undefined)
  }

  return {
    start,
    close,
    setFaults: (faults) => Object.assign(state.faults, faults),
    runs: () => structuredClone(state.runs),
    record
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
    await run(state, c)
    return c.json({ booking: uuid(), runs: state.runs.length }, 201)
  })
  app.get('/availability', async (c) => {
    await run(state, c)
    return c.json({ available: true, query: c.req.query() })
  })
  app.put('/items/:id', async (c) => {
    await run(state, c)
    return c.json({ id: c.req.param('id') })
  })
  app.get('/slow', async (c) => {
    const ms = Math.min(Number(c.req.query('ms') ?? 0), MAX_SLOW_MS)
    await run(state, c)
    await state.clock.sleep(ms)
    return c.json({ ms })
  })
  return app
}

function applyFaults (state: ServiceState): MiddlewareHandler<StandinEnv> {
  return async (c, next) => {
    const { faults } = state
    if (faults.silent === true) await neverAnswer()
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
  }
}

async function waitWhileHeld (state: ServiceState, when: 'before' | 'after'): Promise<void> {
  state.held += 1
  while (state.faults.hold === when) await state.clock.sleep(HOLD_CHECK_MS)
  state.held -= 1
}

async function run (state: ServiceState, c: Context<StandinEnv>): Promise<void> {
  const body = await c.req.text()
  const key = c.req.header('idempotency-key') ?? c.req.header('x-request-id') ?? uuid()
  state.runs.push({ key, method: c.req.method, path: c.req.path, body, outcome: 'done' })
}
