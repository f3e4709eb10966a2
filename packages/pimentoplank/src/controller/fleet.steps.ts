import assert from 'node:assert/strict'
import type { EngineStandin } from '@pimentoplank/standins'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { ResultAsync } from 'neverthrow'
import { request } from 'undici'
import { benchModel, startFleetBench, type BenchController, type FleetBench } from '../../features/support/fleetBench'
import { until } from '../../features/support/until'
import { OBJECT_KINDS, parsePlacement } from '../shared'
import { createEngineControl, type EngineControl } from './engineControl'

interface FleetWorld {
  bench: FleetBench
  control: PausableControl
  mostLoading: number
  fewestServing: number
  watchers: Array<() => void>
  longRequest: Promise<unknown>
  longRequestOver: AbortController
  ordersBefore: number
}

/** Engine control that a test can stop just before an order goes out. */
interface PausableControl extends EngineControl {
  pauseBeforeUnload: () => void
  isPaused: () => boolean
  /** Target of the order that was held back. */
  pausedTarget: () => string
  goOn: () => Promise<void>
}

function createPausableControl (): PausableControl {
  const real = createEngineControl()
  let isArmed = false
  let resume: (() => void) | undefined
  let late: Promise<unknown> | undefined
  let pausedTarget = ''
  return {
    ...real,
    order: (target, order, ids) => {
      if (!isArmed || order.action !== 'unload') return real.order(target, order, ids)
      const gate = new Promise<void>((resolve) => { resume = resolve })
      const sent = ResultAsync.fromSafePromise(gate).andThen(() => real.order(target, order, ids))
      late = Promise.resolve(sent)
      pausedTarget = target.id
      isArmed = false
      return sent
    },
    pauseBeforeUnload: () => { isArmed = true },
    isPaused: () => resume !== undefined,
    pausedTarget: () => pausedTarget,
    goOn: async () => {
      resume!()
      await late
    }
  }
}

function modelsOf (engine: EngineStandin): Array<{ name: string, version: string, status: string }> {
  return engine.state().models
}

function hasReady (engine: EngineStandin, name: string, version: string): boolean {
  return modelsOf(engine).some((model) => model.name === name && model.version === version && model.status === 'ready')
}

function ordersOf (world: FleetWorld, action: string): number {
  return world.bench.engines.flatMap((engine) => engine.orders()).filter((order) => order.action === action).length
}

function leaseCalls (world: FleetWorld): number {
  const calls = world.bench.platform.stats().calls[OBJECT_KINDS.lease] ?? {}
  return Object.values(calls).reduce((sum, count) => sum + count, 0)
}

function placedTargets (world: FleetWorld, model: string): string[] | undefined {
  const placements = world.bench.platform.objects(OBJECT_KINDS.status).flatMap((object) => parsePlacement(object) ?? [])
  return placements.find((placement) => placement.model === model)?.targets
}

function engineNamed (world: FleetWorld, id: string): EngineStandin {
  return world.bench.engines.find((engine) => engine.record().id === id)!
}

/** Looks at the fleet again and again until the scenario ends. */
function watch (world: FleetWorld, look: () => void): void {
  const timer = setInterval(look, 2)
  world.watchers.push(() => clearInterval(timer))
}

Given('a fleet of {int} engines', async function (this: FleetWorld, count: number) {
  this.bench = await startFleetBench(count)
  this.watchers = []
})

Given(/^a fleet of (\d+) engines that (check|ignore) fencing numbers$/,
  async function (this: FleetWorld, count: string, check: string) {
    this.bench = await startFleetBench(Number(count), { checksFencing: check === 'check' })
    this.watchers = []
  })

Given('a controller that orders at most {int} loads at a time', async function (this: FleetWorld, maxConcurrent: number) {
  this.control = createPausableControl()
  await this.bench.startController({ maxConcurrent, engines: this.control })
  this.mostLoading = 0
  watch(this, () => {
    const loading = this.bench.engines.flatMap(modelsOf).filter(({ status }) => status === 'loading').length
    this.mostLoading = Math.max(this.mostLoading, loading)
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
    await until(() => {
      const ready = this.bench.engines.filter((engine) => hasReady(engine, name, version))
      return ready.length === count && placedTargets(this, name)?.length === count
    }, { limitMs: 15_000, describe: () => JSON.stringify(this.bench.engines.map((engine) => engine.state())) })
  })

Then('the fleet never had more than {int} loads running', function (this: FleetWorld, most: number) {
  assert.ok(this.mostLoading >= 1 && this.mostLoading <= most, `${this.mostLoading} loads at once`)
})

Then('each engine was ordered to load once', function (this: FleetWorld) {
  for (const engine of this.bench.engines) {
    const orders = engine.orders().map(({ action, model, version }) => `${action} ${model} ${version}`)
    assert.equal(orders.length, 1, `${engine.record().id}: ${orders.join(', ')}`)
  }
})

When('the serving replicas of {string} are watched', function (this: FleetWorld, name: string) {
  this.fewestServing = Infinity
  watch(this, () => {
    const placed = new Set(placedTargets(this, name))
    const serving = this.bench.engines.filter((engine) => placed.has(engine.record().id) &&
      modelsOf(engine).some((model) => model.name === name && model.status === 'ready'))
    this.fewestServing = Math.min(this.fewestServing, serving.length)
  })
})

Then('version {string} of {string} is gone from all engines', { timeout: 20_000 },
  async function (this: FleetWorld, version: string, name: string) {
    const isGone = (engine: EngineStandin): boolean =>
      modelsOf(engine).every((model) => model.name !== name || model.version !== version)
    await until(() => this.bench.engines.every(isGone), { limitMs: 15_000 })
  })

Then('at least {int} placed replicas of {string} served at all times', function (this: FleetWorld, least: number, _name: string) {
  assert.ok(this.fewestServing >= least, `${this.fewestServing} replicas`)
})

When('a long request runs on engine {string}', async function (this: FleetWorld, id: string) {
  const engine = engineNamed(this, id)
  this.longRequestOver = new AbortController()
  this.longRequest = request(`http://${engine.record().address}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'desk-8b', prompt: 'a long story', max_tokens: 100_000, stream: true }),
    signal: this.longRequestOver.signal
  }).then(async (res) => await res.body.dump()).catch(() => undefined)
  await until(() => engine.load().running === 1)
})

Then('the controller unloads {string} from engine {string}', { timeout: 20_000 },
  async function (this: FleetWorld, name: string, id: string) {
    await until(() => modelsOf(engineNamed(this, id)).every((model) => model.name !== name), { limitMs: 15_000 })
  })

Then('the placement of {string} names no target', function (this: FleetWorld, name: string) {
  assert.equal(placedTargets(this, name)?.length ?? 0, 0)
})

Then('engine {string} was not ordered to unload while its request ran', function (this: FleetWorld, id: string) {
  const engine = engineNamed(this, id)
  assert.equal(engine.load().running, 1)
  assert.deepEqual(engine.orders().filter(({ action }) => action === 'unload'), [])
})

When('the long request ends', async function (this: FleetWorld) {
  this.longRequestOver.abort()
  await this.longRequest
})

When('a second controller runs and the first one stops', { timeout: 20_000 }, async function (this: FleetWorld) {
  await until(() => this.bench.controllers[0]!.controller.isLeading())
  await this.bench.startController()
  await this.bench.controllers[0]!.stop()
})

function second (world: FleetWorld): BenchController {
  return world.bench.controllers[1]!
}

Then('the second controller leads', { timeout: 20_000 }, async function (this: FleetWorld) {
  await until(() => second(this).controller.isLeading())
  const seen = leaseCalls(this)
  // Three more renewals give it time for many looks at the fleet.
  await until(() => leaseCalls(this) >= seen + 3)
})

When('the controller is paused just before it orders an unload of the withdrawn {string}', { timeout: 20_000 },
  async function (this: FleetWorld, name: string) {
    await until(() => this.bench.controllers[0]!.controller.isLeading())
    this.control.pauseBeforeUnload()
    await this.bench.apply({ withdrawn: [{ kind: 'model', name }] })
    await until(() => this.control.isPaused(), { limitMs: 10_000 })
  })

When('a second controller leads after the first one\'s lease lapsed', { timeout: 20_000 }, async function (this: FleetWorld) {
  // A paused process renews nothing.
  this.bench.controllers[0]!.platformLink.set('cut')
  await this.bench.startController()
  await until(() => second(this).controller.isLeading(), { limitMs: 10_000 })
  const isUnloaded = (engine: EngineStandin): boolean => modelsOf(engine).length === 0
  await until(() => this.bench.engines.every(isUnloaded), { limitMs: 10_000 })
})

When('the paused controller goes on', async function (this: FleetWorld) {
  this.bench.controllers[0]!.platformLink.set('open')
  await this.control.goOn()
})

Then(/^the late order is (refused|taken)$/, function (this: FleetWorld, outcome: string) {
  const orders = engineNamed(this, this.control.pausedTarget()).orders()
  const lowest = Math.min(...orders.map(({ fencing }) => fencing))
  const late = orders.findLast(({ action, fencing }) => action === 'unload' && fencing === lowest)
  assert.equal(late?.applied, outcome === 'taken')
})

Then('only the second controller leads', function (this: FleetWorld) {
  assert.deepEqual(this.bench.controllers.map(({ controller }) => controller.isLeading()), [false, true])
})

When('the platform of the fleet is down for longer than the lease', { timeout: 20_000 }, async function (this: FleetWorld) {
  await until(() => this.bench.controllers[0]!.controller.isLeading())
  this.bench.platform.setFaults({ down: true })
  await until(() => !this.bench.controllers[0]!.controller.isLeading(), { limitMs: 10_000 })
})

When('an engine of the fleet loses its model {string} at version {string}',
  async function (this: FleetWorld, model: string, version: string) {
    this.ordersBefore = ordersOf(this, 'load')
    const [engine] = this.bench.engines
    engine!.order({ orderId: 'by-hand', fencing: 0, action: 'unload', model, version })
    await until(() => modelsOf(engine!).length === 0)
  })

Then('the controller orders nothing while the platform is down', async function (this: FleetWorld) {
  const tries = leaseCalls(this)
  // Many looks at the fleet fit between as many tries to renew the lease.
  await until(() => leaseCalls(this) >= tries + 12)
  assert.equal(ordersOf(this, 'load'), this.ordersBefore)
})

When('the platform of the fleet answers again', function (this: FleetWorld) {
  this.bench.platform.setFaults({ down: false })
})

When('{int} notes are applied one after the other', { timeout: 20_000 }, async function (this: FleetWorld, count: number) {
  for (let made = 1; made < count; made++) {
    await this.bench.apply({ added: [{ kind: 'service', name: `service-${made}`, type: 'plain' }] })
  }
})

Then('the log of the fleet holds at most {int} notes and a snapshot', { timeout: 20_000 },
  async function (this: FleetWorld, most: number) {
    const count = (kind: string): number => this.bench.platform.objects(kind).length
    await until(() => count(OBJECT_KINDS.releaseNote) <= most && count(OBJECT_KINDS.configSnapshot) >= 1, {
      limitMs: 10_000, describe: () => `${count(OBJECT_KINDS.releaseNote)} notes`
    })
  })

Then('an instance that starts now has configuration {int}', async function (this: FleetWorld, sequence: number) {
  const { followers } = await this.bench.startFollowers('late')
  await followers.ready()
  assert.equal(followers.config.current().sequence, sequence)
  assert.equal(followers.config.current().services.size, sequence)
})

When('engine {string} says that it is leaving', function (this: FleetWorld, id: string) {
  engineNamed(this, id).setFaults({ leaving: true })
})

Then('the placement of {string} loses {string} within {int} s',
  async function (this: FleetWorld, name: string, id: string, seconds: number) {
    await until(() => placedTargets(this, name)?.includes(id) === false, { limitMs: seconds * 1000 })
  })

Then('every follower of the fleet has dropped {string}', async function (this: FleetWorld, id: string) {
  const isOut = ({ followers }: BenchController): boolean =>
    followers.membership.targets('desk-lm').every((target) => target.id !== id)
  await until(() => this.bench.controllers.every(isOut))
})

After({ timeout: 20_000 }, async function (this: FleetWorld) {
  for (const stop of this.watchers ?? []) stop()
  this.longRequestOver?.abort()
  await this.bench?.close()
})
