/** Decides which orders bring the fleet nearer to the configuration. */
import { rankByRendezvous, type ConfigSnapshot, type ModelEntry, type Target } from '../shared'
import type { EngineModel, EngineState, Order } from './engineControl'

/** What was last seen of an engine. */
export interface ObservedEngine {
  target: Target
  state: EngineState
}

export interface PlanInput {
  config: ConfigSnapshot
  engines: readonly ObservedEngine[]
  /** True when a model version on a target has no request left, or had long enough to end them. */
  isDrained: (targetId: string, model: EngineModel) => boolean
  maxConcurrentLoads: number
  /** Share of the replicas of a model that must go on serving. */
  minServingShare: number
}

export interface PlannedOrder {
  target: Target
  order: Order
}

export interface Plan {
  orders: PlannedOrder[]
  /** Targets that may get work, by model. */
  placement: Map<string, Target[]>
  /** Versions that get no new work and wait to be unloaded, as `target/model/version`. */
  draining: Set<string>
}

/** Identity of a model version on a target. */
export function versionKey (targetId: string, model: { name: string, version: string }): string {
  return `${targetId}/${model.name}/${model.version}`
}

/** Plans from the state of the engines alone, so that a new controller goes on where another stopped. */
export function planFleet (input: PlanInput): Plan {
  const plan: Plan = { orders: [], placement: new Map(), draining: new Set() }
  for (const model of input.config.models.values()) planModel(model, input, plan)
  for (const engine of input.engines) planWithdrawn(engine, input, plan)
  limitLoads(input, plan)
  return plan
}

function planModel (model: ModelEntry, input: PlanInput, plan: Plan): void {
  const engines = input.engines.filter(({ target }) => target.service === model.service)
  const chosen = chooseReplicas(model, engines)
  const chosenIds = new Set(chosen.map(({ target }) => target.id))
  const serving = engines.filter((engine) => isServing(engine, model))
  const wantedReady = chosen.filter((engine) => hasReady(engine, model)).length
  // Replicas beyond the chosen ones, and old versions, go on until enough chosen ones serve the wanted version.
  const isEnough = wantedReady >= Math.min(chosen.length, Math.ceil(chosen.length * input.minServingShare)) &&
    wantedReady > 0
  const placed = serving.filter((engine) => chosenIds.has(engine.target.id) || !isEnough)
  plan.placement.set(model.name, placed.map(({ target }) => target))
  const placedIds = new Set(placed.map(({ target }) => target.id))

  let spare = placed.length - Math.ceil(Math.min(chosen.length, placed.length) * input.minServingShare)
  for (const engine of chosen) {
    const canStop = (): boolean => spare > 0
    const order = orderFor(engine, model, canStop)
    if (order?.action === 'unload') spare -= 1
    if (order !== undefined) plan.orders.push({ target: engine.target, order })
    planOldVersions(engine, model, input, plan)
  }
  for (const engine of engines) {
    if (chosenIds.has(engine.target.id) || placedIds.has(engine.target.id)) continue
    drain(engine, modelsNamed(engine, model.name), input, plan)
  }
}

/** Targets that must have a model: those that have it already come first, so that nothing moves without need. */
function chooseReplicas (model: ModelEntry, engines: readonly ObservedEngine[]): ObservedEngine[] {
  const live = engines.filter(({ state }) => state.state === 'live')
  const ranked = rankByRendezvous(model.name, live, ({ target }) => target.id)
  return ranked.slice(0, model.replicas ?? ranked.length)
}

function orderFor (engine: ObservedEngine, model: ModelEntry, canStop: () => boolean): Order | undefined {
  const wanted = engine.state.models.find((found) => found.name === model.name && found.version === model.version)
  const version = { model: model.name, version: model.version }
  if (wanted === undefined) return { action: 'load', ...version, weightsMb: model.weightsMb }
  if (wanted.status === 'failed') return roomFor(engine, model, canStop) ?? { action: 'load', ...version, weightsMb: model.weightsMb }
  if (wanted.status !== 'ready') return undefined
  return adapterOrder(wanted, model)
}

/** A load that failed beside the old version gets its room, as long as enough other replicas serve. */
function roomFor (engine: ObservedEngine, model: ModelEntry, canStop: () => boolean): Order | undefined {
  const old = modelsNamed(engine, model.name).find((found) => found.version !== model.version && found.status === 'ready')
  if (old === undefined || !canStop()) return undefined
  return { action: 'unload', model: old.name, version: old.version }
}

function adapterOrder (found: EngineModel, model: ModelEntry): Order | undefined {
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

/** Old versions beside a ready wanted one get no new work: the engine serves the newest under the model's name. */
function planOldVersions (engine: ObservedEngine, model: ModelEntry, input: PlanInput, plan: Plan): void {
  if (!hasReady(engine, model)) return
  drain(engine, modelsNamed(engine, model.name).filter((found) => found.version !== model.version), input, plan)
}

function planWithdrawn (engine: ObservedEngine, input: PlanInput, plan: Plan): void {
  const isWithdrawn = ({ name }: EngineModel): boolean =>
    input.config.models.get(name)?.service !== engine.target.service
  drain(engine, engine.state.models.filter(isWithdrawn), input, plan)
}

function drain (engine: ObservedEngine, models: readonly EngineModel[], input: PlanInput, plan: Plan): void {
  for (const model of models) {
    if (model.status === 'unloading') continue
    plan.draining.add(versionKey(engine.target.id, model))
    if (!input.isDrained(engine.target.id, model)) continue
    const order: Order = { action: 'unload', model: model.name, version: model.version }
    plan.orders.push({ target: engine.target, order })
  }
}

function limitLoads (input: PlanInput, plan: Plan): void {
  const loading = input.engines.flatMap(({ state }) => state.models).filter(({ status }) => status === 'loading').length
  let left = Math.max(0, input.maxConcurrentLoads - loading)
  plan.orders = plan.orders.filter(({ order }) => {
    if (order.action !== 'load') return true
    left -= 1
    return left >= 0
  })
}

function modelsNamed (engine: ObservedEngine, name: string): EngineModel[] {
  return engine.state.models.filter((model) => model.name === name)
}

function hasReady (engine: ObservedEngine, model: ModelEntry): boolean {
  return modelsNamed(engine, model.name).some(({ version, status }) => version === model.version && status === 'ready')
}

/** Any version serves until the wanted one is there. */
function isServing (engine: ObservedEngine, model: ModelEntry): boolean {
  return engine.state.state === 'live' && modelsNamed(engine, model.name).some(({ status }) => status === 'ready')
}
