/** Reconciles the fleet with the configuration while this process holds the controllers' lease. */
import { v7 as uuid } from 'uuid'
import {
  createLeaseObserver, createWakeup, tryAcquireLease,
  type Clock, type Followers, type Lease, type Log, type Metrics, type PlatformClient, type Random, type Target
} from '../shared'
import { createDrainTracker, type DrainTracker } from './drainTracker'
import type { EngineControl, Order } from './engineControl'
import { createLoadRateLimiter } from './loadRateLimiter'
import { createEngineObserver } from './engineObserver'
import { createPlacementWriter } from './placementWriter'
import { planFleet, type ObservedEngine, type Plan, type PlannedOrder } from './plan'
import type { ControllerSettings } from './settings'
import { createSnapshotManager } from './snapshotManager'

export const CONTROLLER_LEASE = 'controller'

export interface ControllerDeps {
  platform: PlatformClient
  followers: Pick<Followers, 'feed' | 'config' | 'membership'>
  engines: EngineControl
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
  /** Unique id of this process among lease holders. */
  holder?: string
}

export interface Controller {
  /** Leads whenever it acquires the lease; releases the lease and resolves after the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  isLeading: () => boolean
}

/** Outcome of one reconciliation; `settled` when the fleet matches its configuration. */
type ReconcileOutcome = 'done' | 'settled' | 'superseded'

/** Creates a controller that is idle until `run` is called. */
export function createController (settings: ControllerSettings, deps: ControllerDeps): Controller {
  const { platform, followers, engines, clock, metrics, log } = deps
  const holder = deps.holder ?? `${settings.instance.id}.${uuid()}`
  const leaseObserver = createLeaseObserver({ clock })
  const observer = createEngineObserver(deps)
  const rateLimiter = createLoadRateLimiter(clock, settings.loads.mbPerSecond)
  const placements = createPlacementWriter({ ...deps, minIntervalMs: settings.placementEveryMs })
  const snapshotManager = createSnapshotManager({ ...deps, settings: settings.snapshots })
  let current: Lease | undefined

  async function run (signal: AbortSignal): Promise<void> {
    await followers.config.ready()
    while (!signal.aborted) {
      const lease = await tryAcquireLease({ platform, clock, observer: leaseObserver }, {
        name: CONTROLLER_LEASE, holder, ...settings.lease
      })
      if (lease.isOk() && lease.value !== null) await lead(lease.value, signal)
      await clock.sleep(settings.lease.renewEveryMs, signal)
    }
  }

  async function lead (lease: Lease, signal: AbortSignal): Promise<void> {
    log.info({ epoch: lease.epoch() }, 'controller lease acquired: leading the fleet')
    current = lease
    const ended = AbortSignal.any([signal, lease.lost])
    const drainTracker = createDrainTracker({ clock, ...settings.drain })
    const wakeup = createWakeup(clock)
    const unsubscribe = [followers.config.onChange(wakeup.wake), followers.membership.onChange(wakeup.wake)]
    ended.addEventListener('abort', wakeup.wake)
    while (!ended.aborted) {
      const outcome = lease.isHeld() ? await reconcile(lease, drainTracker) : 'done'
      if (outcome === 'superseded') break
      await wakeup.wait(getCheckIntervalMs(outcome))
    }
    for (const stop of unsubscribe) stop()
    current = undefined
    await lease.release()
    log.info('controller lease released: no longer leading the fleet')
  }

  function engineTargets (): Target[] {
    return followers.membership.allTargets().filter(({ role }) => role === 'engine')
  }

  function getCheckIntervalMs (outcome: ReconcileOutcome): number {
    if (outcome !== 'settled') return settings.checkEveryMs
    return Math.max(settings.settled.everyMs, settings.settled.perEngineMs * engineTargets().length)
  }

  /** True while the configuration is older than the predecessor's, until the feed has caught up. */
  function isConfigBehind (): boolean {
    const { sequence } = followers.config.current()
    return placements.getPublished().some((record) => record.sequence > sequence)
  }

  async function reconcile (lease: Lease, drainTracker: DrainTracker): Promise<ReconcileOutcome> {
    if (isConfigBehind()) return 'done'
    const targets = engineTargets()
    const observed = await observer.observe(targets)
    reportLeaving(observed)
    await readLoads(drainTracker, observed)
    const plan = planFleet({
      config: followers.config.current(),
      engines: observed,
      isDrained: drainTracker.isDrained,
      maxConcurrentLoads: settings.loads.maxConcurrent,
      minServingShare: settings.rolling.minServingShare
    })
    const published = await publish(plan, lease)
    if (published === 'superseded') return 'superseded'
    // A drain starts only once the platform has the placement without the version.
    drainTracker.update(published === 'current' ? plan.draining : new Set())
    const outcomes = await Promise.all(plan.orders.map(async (planned) => await execute(planned, lease)))
    if (outcomes.includes('superseded')) return 'superseded'
    await snapshotManager.writeOrTrim(lease)
    return isSettled(plan, observed, targets) && published === 'current' ? 'settled' : 'done'
  }

  /** Reports leaving engines to the membership: an engine's own state shows it before the platform's list does. */
  function reportLeaving (observed: readonly ObservedEngine[]): void {
    for (const { target, state } of observed) {
      if (state.state === 'leaving') followers.membership.markLeaving(target.id, 'ownAnswer')
    }
  }

  async function readLoads (drainTracker: DrainTracker, observed: readonly ObservedEngine[]): Promise<void> {
    const waiting = new Set(drainTracker.getWaitingTargets())
    await Promise.all(observed.filter(({ target }) => waiting.has(target.id)).map(async ({ target }) => {
      const load = await engines.getLoad(target)
      if (load.isOk()) drainTracker.recordLoad(target.id, load.value)
    }))
  }

  async function publish (plan: Plan, lease: Lease): Promise<'current' | 'later' | 'superseded'> {
    const { sequence, models } = followers.config.current()
    const records = [...plan.placement].map(([model, targets]) => ({
      model,
      version: models.get(model)!.version,
      targets: targets.map(({ id }) => id).sort(),
      sequence,
      epoch: lease.epoch()
    }))
    for (const { model } of placements.getPublished()) {
      if (!plan.placement.has(model)) await placements.withdraw(model, lease)
    }
    const results = await Promise.all(records.map(async (record) => await placements.publish(record, lease)))
    if (results.includes('superseded')) return 'superseded'
    return results.includes('later') ? 'later' : 'current'
  }

  /**
   * Re-reads the engine and sends the order only if it would still change something: engines that ignore fencing
   * numbers also accept orders of a superseded controller.
   */
  async function execute ({ target, order }: PlannedOrder, lease: Lease): Promise<'done' | 'superseded'> {
    if (observer.isBackedOff(target.id)) return 'done'
    if (order.action === 'load' && !rateLimiter.tryAcquire(order.weightsMb ?? 0)) return 'done'
    const engine = await observer.refresh(target)
    if (engine === undefined || !hasEffect(engine, order)) return 'done'
    if (!lease.isHeld()) return 'superseded'
    const sent = await engines.sendOrder(target, order, { orderId: uuid(), fencing: lease.epoch() })
    metrics.count(`controller.orders.${order.action}`)
    if (sent.isOk()) return 'done'
    log.warn({ err: sent.error, target: target.id, order }, 'order rejected by engine, or engine unreachable')
    if (sent.error.kind === 'fenced') return 'superseded'
    observer.recordFailure(target.id)
    return 'done'
  }

  return { run, isLeading: () => current?.isHeld() === true }
}

/** True when every engine was read and matches the configuration. */
function isSettled (plan: Plan, observed: readonly ObservedEngine[], targets: readonly Target[]): boolean {
  const hasOnlyReadyModels = ({ state }: ObservedEngine): boolean =>
    state.models.every(({ status }) => status === 'ready')
  return plan.orders.length === 0 && plan.draining.size === 0 &&
    observed.length === targets.length && observed.every(hasOnlyReadyModels)
}

/** Returns whether an order would change something on an engine. */
function hasEffect ({ state }: ObservedEngine, order: Order): boolean {
  const found = state.models.find(({ name, version }) => name === order.model && version === order.version)
  const checks: Record<Order['action'], () => boolean> = {
    load: () => found === undefined || found.status === 'failed',
    unload: () => found !== undefined && found.status !== 'unloading',
    loadAdapter: () => found !== undefined &&
      !found.adapters.some(({ name, version }) => name === order.adapter && version === order.adapterVersion),
    unloadAdapter: () => found !== undefined && found.adapters.some(({ name }) => name === order.adapter)
  }
  return checks[order.action]()
}
