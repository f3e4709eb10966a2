import assert from 'node:assert/strict'
import type { EngineStandin } from '@pimentoplank/standins'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { ResultAsync } from 'neverthrow'
import { request } from 'undici'
import { benchModel, startFleetBench, type BenchController, type FleetBench } from '../../features/support/fleetBench'
import { waitUntil } from '../../features/support/waitUntil'
import { OBJECT_KINDS, parsePlacement } from '../shared'
import { createEngineControl, type EngineControl } from './engineControl'

interface FleetWorld {
  bench: FleetBench
  control: PausableControl
  maxLoading: number
  minServing: number
  stopWatchers: Array<() => void>
  longRequest: Promise<unknown>
  longRequestAbort: AbortController
  ordersBefore: number
}

/** Engine client that a test can pause just before it sends an unload order. */
interface PausableControl extends EngineControl {
  pauseBeforeUnload: () => void
  isPaused: () => boolean
  /** Target of the delayed order. */
  getPausedTarget: () => string
  resume: () => Promise<void>
}

function createPausableControl (): PausableControl {
  const client = createEngineControl()
  let isArmed = false
  let openGate: (() => void) | undefined
  let delayedOrder: Promise<unknown> | undefined
  let pausedTarget = ''
  return {
    ...client,
    sendOrder: (target, order, ids) => {
      if (!isArmed || order.action !== 'unload') return client.sendOrder(target, order, ids)
      const gate = new Promise<void>((resolve) => { openGate = resolve })
      const sent = ResultAsync.fromSafePromise(gate).andThen(() => client.sendOrder(target, order, ids))
      delayedOrder = Promise.resolve(sent)
      pausedTarget = target.id
      isArmed = false
      return sent
    },
    pauseBeforeUnload: () => { isArmed = true },
    isPaused: () => openGate !== undefined,
    getPausedTarget: () => pausedTarget,
    resume: async () => {
      openGate!()
      await delayedOrder
    }
  }
}

function getModels (engine: EngineStandin): Array<{ name: string, version: string, status: string }> {
  return engine.getState().models
}

function hasReady (engine: EngineStandin, name: string, version: string): boolean {
  return getModels(engine).some((model) => model.name === name && model.version === version && model.status === 'ready')
}

function countOrders (world: FleetWorld, action: string): number {
  return world.bench.engines.flatMap((engine) => engine.getOrders()).filter((order) => order.action === action).length
}

function countLeaseCalls (world: FleetWorld): number {
  const calls = world.bench.platform.getStats().calls[OBJECT_KINDS.lease] ?? {}
  return Object.values(calls).reduce((sum, count) => sum + count, 0)
}

function findPlacedTargets (world: FleetWorld, model: string): string[] | undefined {
  const placements = world.bench.platform.readAll(OBJECT_KINDS.status).flatMap((object) => parsePlacement(object) ?? [])
  return placements.find((placement) => placement.model === model)?.targets
}

function findEngine (world: FleetWorld, id: string): EngineStandin {
  return world.bench.engines.find((engine) => engine.getInstanceRecord().id === id)!
}

/** Samples the fleet every 2 ms until the scenario ends. */
function watch (world: FleetWorld, sample: () => void): void {
  const timer = setInterval(sample, 2)
  world.stopWatchers.push(() => clearInterval(timer))
}

Given('a fleet of {int} engines', async function (this: FleetWorld, count: number) {
  this.bench = await startFleetBench(count)
  this.stopWatchers = []
})

Given(/^a fleet of (\d+) engines that (check|ignore) fencing numbers$/,
  async function (this: FleetWorld, count: string, check: string) {
    this.bench = await startFleetBench(Number(count), { checksFencing: check === 'check' })
    this.stopWatchers = []
  })

Given('a controller that orders at most {int} loads at a time', async function (this: FleetWorld, maxConcurrent: number) {
  this.control = createPausableControl()
  await this.bench.startController({ maxConcurrent, engines: this.control })
  this.maxLoading = 0
  watch(this, () => {
    const loading = this.bench.engines.flatMap(getModels).filter(({ status }) => status === 'loading').length
    this.maxLoading = Math.max(this.maxLoading, loading)
  })
})

When('model {string} at version {string} is released', async function (this: FleetWorld, name: string, version: string) {
  await this.bench.apply({ added: [benchModel(name, version)] })
})

When('model {string} at version {string} is released again',
  async function (this: FleetWorld, name: string, version: string) {
    await this.bench.apply({ added: [benchModel(name, version)] })
  })

When('model {string} is changed to version {string}', async function (this: FleetWorld, name: string, version: string) {
  await this.bench.apply({ changed: [benchModel(name, version)] })
})

When('model {string} is withdrawn', async function (this: FleetWorld, name: string) {
  await this.bench.apply({ withdrawn: [{ kind: 'model', name }] })
})

Then('the controller has model {string} at version {string} ready on {int} engines', { timeout: 20_000 },
  async function (this: FleetWorld, name: string, version: string, count: number) {
    await waitUntil(() => {
      const ready = this.bench.engines.filter((engine) => hasReady(engine, name, version))
      return ready.length === count && findPlacedTargets(this, name)?.length === count
    }, { limitMs: 15_000, describe: () => JSON.stringify(this.bench.engines.map((engine) => engine.getState())) })
  })

Then('the fleet never had more than {int} concurrent loads', function (this: FleetWorld, most: number) {
  assert.ok(this.maxLoading >= 1 && this.maxLoading <= most, `${this.maxLoading} concurrent loads`)
})

Then('each engine was ordered to load once', function (this: FleetWorld) {
  for (const engine of this.bench.engines) {
    const orders = engine.getOrders().map(({ action, model, version }) => `${action} ${model} ${version}`)
    assert.equal(orders.length, 1, `${engine.getInstanceRecord().id}: expected one order, got ${orders.join(', ')}`)
  }
})

When('the serving replicas of {string} are watched', function (this: FleetWorld, name: string) {
  this.minServing = Infinity
  watch(this, () => {
    const placed = new Set(findPlacedTargets(this, name))
    const serving = this.bench.engines.filter((engine) => placed.has(engine.getInstanceRecord().id) &&
      getModels(engine).some((model) => model.name === name && model.status === 'ready'))
    this.minServing = Math.min(this.minServing, serving.length)
  })
})

Then('version {string} of {string} is unloaded from all engines', { timeout: 20_000 },
  async function (this: FleetWorld, version: string, name: string) {
    const isUnloaded = (engine: EngineStandin): boolean =>
      getModels(engine).every((model) => model.name !== name || model.version !== version)
    await waitUntil(() => this.bench.engines.every(isUnloaded), { limitMs: 15_000 })
  })

Then('at least {int} placed replicas of {string} served at all times', function (this: FleetWorld, least: number, _name: string) {
  assert.ok(this.minServing >= least, `${this.minServing} serving replicas`)
})

When('a long request runs on engine {string}', async function (this: FleetWorld, id: string) {
  const engine = findEngine(this, id)
  this.longRequestAbort = new AbortController()
  this.longRequest = request(`http://${engine.getInstanceRecord().address}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'desk-8b', prompt: 'a long story', max_tokens: 100_000, stream: true }),
    signal: this.longRequestAbort.signal
  }).then(async (res) => await res.body.dump()).catch(() => undefined)
  await waitUntil(() => engine.getLoad().running === 1)
})

Then('the controller unloads {string} from engine {string}', { timeout: 20_000 },
  async function (this: FleetWorld, name: string, id: string) {
    await waitUntil(() => getModels(findEngine(this, id)).every((model) => model.name !== name), { limitMs: 15_000 })
  })

Then('the placement of {string} names no target', function (this: FleetWorld, name: string) {
  assert.equal(findPlacedTargets(this, name)?.length ?? 0, 0)
})

Then('engine {string} was not ordered to unload while its request ran', function (this: FleetWorld, id: string) {
  const engine = findEngine(this, id)
  assert.equal(engine.getLoad().running, 1)
  assert.deepEqual(engine.getOrders().filter(({ action }) => action === 'unload'), [])
})

When('the long request ends', async function (this: FleetWorld) {
  this.longRequestAbort.abort()
  await this.longRequest
})

When('a second controller runs and the first one stops', { timeout: 20_000 }, async function (this: FleetWorld) {
  await waitUntil(() => this.bench.controllers[0]!.controller.isLeading())
  await this.bench.startController()
  await this.bench.controllers[0]!.stop()
})

function getSecond (world: FleetWorld): BenchController {
  return world.bench.controllers[1]!
}

Then('the second controller leads', { timeout: 20_000 }, async function (this: FleetWorld) {
  await waitUntil(() => getSecond(this).controller.isLeading())
  const before = countLeaseCalls(this)
  // Three more lease renewals leave time for many checks of the fleet.
  await waitUntil(() => countLeaseCalls(this) >= before + 3)
})

When('the controller is paused just before it orders an unload of the withdrawn {string}', { timeout: 20_000 },
  async function (this: FleetWorld, name: string) {
    await waitUntil(() => this.bench.controllers[0]!.controller.isLeading())
    this.control.pauseBeforeUnload()
    await this.bench.apply({ withdrawn: [{ kind: 'model', name }] })
    await waitUntil(() => this.control.isPaused(), { limitMs: 10_000 })
  })

When('a second controller leads after the first one\'s lease expired', { timeout: 20_000 }, async function (this: FleetWorld) {
  // A paused process does not renew its lease.
  this.bench.controllers[0]!.platformLink.setMode('cut')
  await this.bench.startController()
  await waitUntil(() => getSecond(this).controller.isLeading(), { limitMs: 10_000 })
  const isUnloaded = (engine: EngineStandin): boolean => getModels(engine).length === 0
  await waitUntil(() => this.bench.engines.every(isUnloaded), { limitMs: 10_000 })
})

When('the paused controller resumes', async function (this: FleetWorld) {
  this.bench.controllers[0]!.platformLink.setMode('open')
  await this.control.resume()
})

Then(/^the late order is (refused|taken)$/, function (this: FleetWorld, outcome: string) {
  const orders = findEngine(this, this.control.getPausedTarget()).getOrders()
  const lowest = Math.min(...orders.map(({ fencing }) => fencing))
  const delayed = orders.findLast(({ action, fencing }) => action === 'unload' && fencing === lowest)
  assert.equal(delayed?.applied, outcome === 'taken')
})

Then('only the second controller leads', function (this: FleetWorld) {
  assert.deepEqual(this.bench.controllers.map(({ controller }) => controller.isLeading()), [false, true])
})

When('the platform of the fleet is down for longer than the lease', { timeout: 20_000 }, async function (this: FleetWorld) {
  await waitUntil(() => this.bench.controllers[0]!.controller.isLeading())
  this.bench.platform.setFaults({ down: true })
  await waitUntil(() => !this.bench.controllers[0]!.controller.isLeading(), { limitMs: 10_000 })
})

When('an engine of the fleet loses its model {string} at version {string}',
  async function (this: FleetWorld, model: string, version: string) {
    this.ordersBefore = countOrders(this, 'load')
    const [engine] = this.bench.engines
    engine!.applyOrder({ orderId: 'by-hand', fencing: 0, action: 'unload', model, version })
    await waitUntil(() => getModels(engine!).length === 0)
  })

Then('the controller orders nothing while the platform is down', async function (this: FleetWorld) {
  const before = countLeaseCalls(this)
  // Twelve attempts to renew the lease leave time for many checks of the fleet.
  await waitUntil(() => countLeaseCalls(this) >= before + 12)
  assert.equal(countOrders(this, 'load'), this.ordersBefore)
})

When('the platform of the fleet is available again', function (this: FleetWorld) {
  this.bench.platform.setFaults({ down: false })
})

When('{int} release notes are applied one after the other', { timeout: 20_000 }, async function (this: FleetWorld, count: number) {
  for (let applied = 1; applied < count; applied++) {
    await this.bench.apply({ added: [{ kind: 'service', name: `service-${applied}`, type: 'plain' }] })
  }
})

Then('the release log of the fleet has at most {int} notes and a snapshot', { timeout: 20_000 },
  async function (this: FleetWorld, most: number) {
    const count = (kind: string): number => this.bench.platform.readAll(kind).length
    await waitUntil(() => count(OBJECT_KINDS.releaseNote) <= most && count(OBJECT_KINDS.configSnapshot) >= 1, {
      limitMs: 10_000, describe: () => `${count(OBJECT_KINDS.releaseNote)} notes`
    })
  })

Then('an instance that starts now has configuration {int}', async function (this: FleetWorld, sequence: number) {
  const { followers } = await this.bench.startFollowers('late')
  await followers.ready()
  assert.equal(followers.config.current().sequence, sequence)
  assert.equal(followers.config.current().services.size, sequence)
})

When('engine {string} reports that it is leaving', function (this: FleetWorld, id: string) {
  findEngine(this, id).setFaults({ leaving: true })
})

Then('the placement of {string} loses {string} within {int} s',
  async function (this: FleetWorld, name: string, id: string, seconds: number) {
    await waitUntil(() => findPlacedTargets(this, name)?.includes(id) === false, { limitMs: seconds * 1000 })
  })

Then('every follower of the fleet has removed {string}', async function (this: FleetWorld, id: string) {
  const isRemoved = ({ followers }: BenchController): boolean =>
    followers.membership.targets('desk-lm').every((target) => target.id !== id)
  await waitUntil(() => this.bench.controllers.every(isRemoved))
})

After({ timeout: 20_000 }, async function (this: FleetWorld) {
  for (const stop of this.stopWatchers ?? []) stop()
  this.longRequestAbort?.abort()
  await this.bench?.close()
})
