/** Client of the control interface of engines, which docs/reference/engine.md describes. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import * as z from 'zod'
import { createConnector, describeCause, SECOND_MS, type Target } from '../shared'

const TIMEOUT_MS = 2 * SECOND_MS
const HTTP_OK = 200
const HTTP_ACCEPTED = 202
const HTTP_CONFLICT = 409

const adapter = z.object({ name: z.string(), version: z.string() })

export const engineModel = z.object({
  name: z.string(),
  version: z.string(),
  status: z.enum(['loading', 'ready', 'unloading', 'failed']),
  adapters: z.array(adapter).default([])
})
export type EngineModel = z.infer<typeof engineModel>

export const engineState = z.object({
  role: z.string(),
  state: z.enum(['live', 'leaving']),
  fencing: z.number().default(0),
  models: z.array(engineModel)
})
export type EngineState = z.infer<typeof engineState>

const engineLoad = z.object({ running: z.number(), waiting: z.number() })

export type OrderAction = 'load' | 'unload' | 'loadAdapter' | 'unloadAdapter'

/** Command to an engine; the fencing number is added when it is sent. */
export interface Order {
  action: OrderAction
  model: string
  version: string
  weightsMb?: number
  adapter?: string
  adapterVersion?: string
}

/** Reason why an engine rejected an order or could not be reached. */
export class OrderError extends Error {
  readonly kind: 'fenced' | 'refused' | 'unreachable'

  constructor (kind: OrderError['kind'], detail: string, cause?: unknown) {
    super(detail, { cause })
    this.name = 'OrderError'
    this.kind = kind
  }
}

export interface EngineControl {
  getState: (target: Target) => ResultAsync<EngineState, OrderError>
  /** Fetches the number of requests that run or wait on an engine. */
  getLoad: (target: Target) => ResultAsync<number, OrderError>
  /**
   * Sends an order.
   *
   * @param ids.orderId - the same for each attempt of one order, so that a repeated one has no further effect
   * @param ids.fencing - fencing number: the epoch of the sender's lease
   */
  sendOrder: (
    target: Target,
    command: Order,
    ids: { orderId: string, fencing: number }
  ) => ResultAsync<void, OrderError>
  close: () => Promise<void>
}

interface EngineResponse {
  status: number
  body: unknown
}

/** Creates a client with its own connections. */
export function createEngineControl (): EngineControl {
  const agent = new Agent({ connect: createConnector({ timeoutMs: TIMEOUT_MS }) })

  async function send (target: Target, path: string, body?: unknown): Promise<Result<EngineResponse, OrderError>> {
    try {
      const res = await request(`http://${target.address}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        dispatcher: agent,
        signal: AbortSignal.timeout(TIMEOUT_MS),
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      return ok({ status: res.statusCode, body: await res.body.json() })
    } catch (cause) {
      return err(new OrderError('unreachable', describeCause(cause), cause))
    }
  }

  async function fetchJson<Schema extends z.ZodType> (
    target: Target,
    path: string,
    schema: Schema
  ): Promise<Result<z.output<Schema>, OrderError>> {
    const res = await send(target, path)
    if (res.isErr()) return err(res.error)
    const parsed = schema.safeParse(res.value.body)
    if (res.value.status === HTTP_OK && parsed.success) return ok(parsed.data)
    return err(new OrderError('unreachable', `expected a valid body with status 200, got status ${res.value.status}`))
  }

  async function sendOrder (target: Target, body: unknown): Promise<Result<void, OrderError>> {
    const res = await send(target, '/v1/orders', body)
    if (res.isErr()) return err(res.error)
    if (res.value.status === HTTP_ACCEPTED) return ok(undefined)
    const kind = res.value.status === HTTP_CONFLICT ? 'fenced' : 'refused'
    return err(new OrderError(kind, JSON.stringify(res.value.body)))
  }

  return {
    getState: (target) => new ResultAsync(fetchJson(target, '/v1/state', engineState)),
    getLoad: (target) => new ResultAsync(fetchJson(target, '/v1/load', engineLoad))
      .map(({ running, waiting }) => running + waiting),
    sendOrder: (target, command, ids) => new ResultAsync(sendOrder(target, { ...command, ...ids })),
    close: async () => await agent.destroy()
  }
}
