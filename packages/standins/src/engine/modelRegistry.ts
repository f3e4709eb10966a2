/** Models, adapters and role of the engine stand-in, and the orders of the controller that change them. */
import { request } from 'undici'
import { SECOND_MS, type Clock } from 'pimentoplank/shared'
import * as z from 'zod'

const MAX_TRANSFER_ATTEMPTS = 20
const TRANSFER_RETRY_DELAY_MS = SECOND_MS / 2
const UNLOAD_POLL_MS = 50
const DEFAULT_WEIGHTS_MB = 1000
const INITIAL_ROLE = 'serve'
const HTTP_OK = 200
const HTTP_TOO_MANY = 429

export const ORDER_ACTIONS = ['load', 'unload', 'loadAdapter', 'unloadAdapter', 'setRole'] as const

export const engineOrder = z.object({
  orderId: z.string().min(1),
  fencing: z.int().min(0),
  action: z.enum(ORDER_ACTIONS),
  model: z.string().optional(),
  version: z.string().optional(),
  weightsMb: z.number().positive().optional(),
  adapter: z.string().optional(),
  adapterVersion: z.string().optional(),
  role: z.string().optional()
})
export type EngineOrder = z.infer<typeof engineOrder>

export interface LoadedAdapter {
  name: string
  version: string
}

export interface LoadedModel {
  name: string
  version: string
  status: 'loading' | 'ready' | 'unloading' | 'failed'
  adapters: LoadedAdapter[]
}

export interface ReceivedOrder extends EngineOrder {
  applied: boolean
}

export type OrderOutcome =
  | { type: 'accepted' }
  | { type: 'fenced', highest: number }
  | { type: 'invalid', message: string }

export interface ModelRegistryOptions {
  clock: Clock
  platform?: string
  checksFencing: boolean
  preloaded: readonly string[]
  isModelInUse: (modelKey: string) => boolean
}

export interface ModelRegistry {
  applyOrder: (req: EngineOrder) => OrderOutcome
  /** Finds the key of the ready model that serves a name: that of a model, `model@version`, or an adapter. */
  findModelKey: (name: string) => string | undefined
  getState: () => { role: string, fencing: number, models: LoadedModel[] }
  getOrders: () => ReceivedOrder[]
  /** Resets everything to the preloaded models, as a process restart does. The log of received orders stays. */
  reset: () => void
}

/** Creates the model registry of one engine, with the preloaded models. */
export function createModelRegistry (options: ModelRegistryOptions): ModelRegistry {
  const models = new Map<string, LoadedModel>()
  const receivedOrders: ReceivedOrder[] = []
  const appliedIds = new Set<string>()
  let highestFencing = 0
  let role = INITIAL_ROLE

  const handlers: Record<EngineOrder['action'], (order: EngineOrder) => string | undefined> = {
    load: (order) => {
      if (order.model === undefined || order.version === undefined) return 'load needs model and version'
      const key = toModelKey(order.model, order.version)
      const existing = models.get(key)
      if (existing !== undefined && existing.status !== 'failed' && existing.status !== 'unloading') return undefined
      const model: LoadedModel = { name: order.model, version: order.version, status: 'loading', adapters: [] }
      models.set(key, model)
      load(model, order.weightsMb ?? DEFAULT_WEIGHTS_MB)
      return undefined
    },
    unload: (order) => {
      if (order.model === undefined || order.version === undefined) return 'unload needs model and version'
      const key = toModelKey(order.model, order.version)
      const model = models.get(key)
      if (model !== undefined && model.status !== 'unloading') unload(key, model)
      return undefined
    },
    loadAdapter: (order) => editAdapters(order, (model, adapter) => {
      model.adapters = [...model.adapters.filter((other) => other.name !== adapter.name), adapter]
    }),
    unloadAdapter: (order) => editAdapters(order, (model, adapter) => {
      model.adapters = model.adapters.filter((other) => other.name !== adapter.name)
    }),
    setRole: (order) => {
      if (order.role === undefined) return 'setRole needs role'
      role = order.role
      return undefined
    }
  }

  function editAdapters (
    order: EngineOrder,
    edit: (model: LoadedModel, adapter: LoadedAdapter) => void
  ): string | undefined {
    if (order.adapter === undefined) return `${order.action} needs adapter`
    const adapter = { name: order.adapter, version: order.adapterVersion ?? '' }
    const affected = [...models.values()].filter((model) => isAddressedBy(model, order))
    if (affected.length === 0) return `${order.action} needs a loaded model`
    for (const model of affected) edit(model, adapter)
    return undefined
  }

  function handleOrder (req: EngineOrder): OrderOutcome {
    if (options.checksFencing && req.fencing < highestFencing) {
      receivedOrders.push({ ...req, applied: false })
      return { type: 'fenced', highest: highestFencing }
    }
    highestFencing = Math.max(highestFencing, req.fencing)
    const isRepeat = appliedIds.has(req.orderId)
    const problem = isRepeat ? undefined : handlers[req.action](req)
    receivedOrders.push({ ...req, applied: !isRepeat && problem === undefined })
    if (problem !== undefined) return { type: 'invalid', message: problem }
    appliedIds.add(req.orderId)
    return { type: 'accepted' }
  }

  async function load (model: LoadedModel, megabytes: number): Promise<void> {
    const isLoaded = await fetchWeights(options, model, megabytes)
    if (model.status === 'loading') model.status = isLoaded ? 'ready' : 'failed'
  }

  async function unload (key: string, model: LoadedModel): Promise<void> {
    model.status = 'unloading'
    while (options.isModelInUse(key)) await options.clock.sleep(UNLOAD_POLL_MS)
    if (models.get(key) === model) models.delete(key)
  }

  function findReadyModel (name: string): string | undefined {
    const ready = [...models.values()].filter((model) => model.status === 'ready')
    const match = ready.findLast((model) => servesName(model, name))
    return match === undefined ? undefined : toModelKey(match.name, match.version)
  }

  function reset (): void {
    models.clear()
    appliedIds.clear()
    highestFencing = 0
    role = INITIAL_ROLE
    for (const model of options.preloaded.map(parsePreloaded)) models.set(toModelKey(model.name, model.version), model)
  }

  reset()
  return {
    applyOrder: handleOrder,
    reset,
    findModelKey: findReadyModel,
    getState: () => ({ role, fencing: highestFencing, models: structuredClone([...models.values()]) }),
    getOrders: () => structuredClone(receivedOrders)
  }
}

/** Fetches the weights from the platform's weight store; without a platform they are available at once. */
async function fetchWeights (options: ModelRegistryOptions, model: LoadedModel, megabytes: number): Promise<boolean> {
  if (options.platform === undefined) return true
  const path = `/v1/weights/${encodeURIComponent(model.name)}/${encodeURIComponent(model.version)}?mb=${megabytes}`
  for (let attempt = 1; attempt <= MAX_TRANSFER_ATTEMPTS; attempt++) {
    const status = await request(options.platform.replace(/\/$/, '') + path, { headersTimeout: 0 })
      .then(async (res) => {
        await res.body.dump()
        return res.statusCode
      })
      .catch(() => undefined)
    if (status === HTTP_OK) return true
    if (status !== HTTP_TOO_MANY && status !== undefined && status < 500) return false
    await options.clock.sleep(TRANSFER_RETRY_DELAY_MS)
  }
  return false
}

function parsePreloaded (text: string): LoadedModel {
  const [name, version = '1'] = text.split('@') as [string, string?]
  return { name, version, status: 'ready', adapters: [] }
}

function toModelKey (name: string, version: string): string {
  return `${name}@${version}`
}

function isAddressedBy (model: LoadedModel, order: EngineOrder): boolean {
  if (model.status === 'unloading') return false
  return model.name === order.model && (order.version === undefined || order.version === model.version)
}

function servesName (model: LoadedModel, name: string): boolean {
  if (model.name === name || toModelKey(model.name, model.version) === name) return true
  return model.adapters.some((adapter) => adapter.name === name)
}
