/** Computes the orders that bring the fleet closer to the configuration. */
import { rankByRendezvous, type ConfigSnapshot, type ModelEntry, type Target } from '../shared'
import type { EngineModel, EngineState, Order } from './engineControl'

/** Last known state of an engine. */
export interface ObservedEngine {
  target: Target
  state: EngineState
}

export interface PlanInput {
  config: ConfigSnapshot
  engines: readonly ObservedEngine[]
  /** True when a model version on a target has no requests left, or its drain time is over. */
  isDrained: (targetId: string, model: EngineModel) => boolean
  maxConcurrentLoads: number
  /** Least share of the replicas of a model that must keep serving. */
  minServingShare: number
}

export interface PlannedOrder {
  target: Target
  order: Order
}

export interface Plan {
  orders: PlannedOrder[]
  /** Targets that may receive requests, by model. */
  placement: Map<string, Target[]>
  /** Versions that receive no new requests and wait to be unloaded, as `target/model/version`. */
  draining: Set<string>
}

/** Returns the key of a model version on a target. */
export function getVersionKey (targetId: string, model: { name: string, version: string }): string {
  return `${targetId}/${model.name}/${model.version}`
}

/** Plans from the state of the engines alone, so that a new controller continues where another stopped. */
export function planFleet (input: PlanInput): Plan {
  const plan: Plan = { orders: [], placement: new Map(), draining: new Set() }
  for (const model of input.config.models.values()) planModel(model, input, plan)
  for (const engine of input.engines) drainWithdrawn(engine, input, plan)
  limitLoads(input, plan)
  return plan
}

function planModel (model: ModelEntry, input: PlanInput, plan: Plan): void {
  const engines = input.engines.filter(({ target }) => target.service === model.service)
  const chosen = chooseReplicas(model, engines)
  const chosenIds = new Set(chosen.map(({ target }) => target.id))
  const serving = engines.filter((engine) => isServing(engine, model))
  const readyCount = chosen.filter((engine) => hasReady(engine, model)).length
  // Other replicas and old versions keep serving until enough chosen replicas serve the configured version.
  const hasEnoughReady = readyCount >= Math.min(chosen.length, Math.ceil(chosen.length * input.minServingShare)) &&
    readyCount > 0
  const placed = serving.filter((engine) => chosenIds.has(engine.target.id) || !hasEnoughReady)
  plan.placement.set(model.name, placed.map(({ target }) => target))
  const placedIds = new Set(placed.map(({ target }) => target.id))

  let spareCount = placed.length - Math.ceil(Math.min(chosen.length, placed.length) * input.minServingShare)
  for (const engine of chosen) {
    const canUnload = (): boolean => spareCount > 0
    const order = computeOrder(engine, model, canUnload)
    if (order?.action === 'unload') spareCount -= 1
    if (order !== undefined) plan.orders.push({ target: engine.target, order })
    drainOldVersions(engine, model, input, plan)
  }
  for (const engine of engines) {
    if (chosenIds.has(engine.target.id) || placedIds.has(engine.target.id)) continue
    drainModels(engine, findVersions(engine, model.name), input, plan)
  }
}

/** Chooses the targets of a model by rendezvous hashing, so that a change of the fleet moves few replicas. */
function chooseReplicas (model: ModelEntry, engines: readonly ObservedEngine[]): ObservedEngine[] {
  const live = engines.filter(({ state }) => state.state === 'live')
  const ranked = rankByRendezvous(model.name, live, ({ target }) => target.id)
  return ranked.slice(0, model.replicas ?? ranked.length)
}

function computeOrder (engine: ObservedEngine, model: ModelEntry, canUnload: () => boolean): Order | undefined {
  const current = engine.state.models.find((found) => found.name === model.name && found.version === model.version)
  const version = { model: model.name, version: model.version }
  if (current === undefined) return { action: 'load', ...version, weightsMb: model.weightsMb }
  if (current.status === 'failed') return makeRoom(engine, model, canUnload) ?? { action: 'load', ...version, weightsMb: model.weightsMb }
  if (current.status !== 'ready') return undefined
  return computeAdapterOrder(current, model)
}

/** Unloads the old version when a load failed beside it, as long as enough other replicas serve. */
function makeRoom (engine: ObservedEngine, model: ModelEntry, canUnload: () => boolean): Order | undefined {
  const old = findVersions(engine, model.name)
    .find((found) => found.version !== model.version && found.status === 'ready')
  if (old === undefined || !canUnload()) return undefined
  return { action: 'unload', model: old.name, version: old.version }
}

function computeAdapterOrder (found: EngineModel, model: ModelEntry): Order | undefined {
  const version = { model: model.name, version: model.version }
  const missing = model.adapters.find((wanted) =>
    !found.adapters.some(({ name, version }) => name === wanted.name && version === wanted.version))
  if (missing !== undefined) {
    return { action: 'loadAdapter', ...version, adapter: missing.name, adapterVersion: missing.version }
  }
  const extra = found.adapters.find(({ name }) => !model.adapters.some((wanted) => wanted.name === name))
  if (extra === undefined) return undefined
  return { action: 'unloadAdapter', ...version, adapter: extra.name, adapterVersion: extra.version }
}

/** Drains old versions once the configured one is ready, since the engine serves the newest of a model. */
function drainOldVersions (engine: ObservedEngine, model: ModelEntry, input: PlanInput, plan: Plan): void {
  if (!hasReady(engine, model)) return
  drainModels(engine, findVersions(engine, model.name).filter((found) => found.version !== model.version), input, plan)
}

function drainWithdrawn (engine: ObservedEngine, input: PlanInput, plan: Plan): void {
  const isWithdrawn = ({ name }: EngineModel): boolean =>
    input.config.models.get(name)?.service !== engine.target.service
  drainModels(engine, engine.state.models.filter(isWithdrawn), input, plan)
}

function drainModels (engine: ObservedEngine, models: readonly EngineModel[], input: PlanInput, plan: Plan): void {
  for (const model of models) {
    if (model.status === 'unloading') continue
    plan.draining.add(getVersionKey(engine.target.id, model))
    if (!input.isDrained(engine.target.id, model)) continue
    const order: Order = { action: 'unload', model: model.name, version: model.version }
    plan.orders.push({ target: engine.target, order })
  }
}

function limitLoads (input: PlanInput, plan: Plan): void {
  const loading = input.engines.flatMap(({ state }) => state.models).filter(({ status }) => status === 'loading').length
  let remaining = Math.max(0, input.maxConcurrentLoads - loading)
  plan.orders = plan.orders.filter(({ order }) => {
    if (order.action !== 'load') return true
    remaining -= 1
    return remaining >= 0
  })
}

function findVersions (engine: ObservedEngine, name: string): EngineModel[] {
  return engine.state.models.filter((model) => model.name === name)
}

function hasReady (engine: ObservedEngine, model: ModelEntry): boolean {
  return findVersions(engine, model.name).some(({ version, status }) => version === model.version && status === 'ready')
}

/** True when an engine serves any version, since old ones serve until the configured one is ready. */
function isServing (engine: ObservedEngine, model: ModelEntry): boolean {
  return engine.state.state === 'live' && findVersions(engine, model.name).some(({ status }) => status === 'ready')
}
