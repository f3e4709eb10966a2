import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  BATCH_ALLOWANCE, computeLimitShare, LIVE_ALLOWANCE, refillAllowance, type Allowance, type LimitShareInput
} from '.'

interface Instance {
  id: string
  failureDomain: string
  /** When it started and stopped, in milliseconds. */
  from: number
  to: number
  allowance: Allowance
}

interface LimitShareWorld {
  instances: Instance[]
  perSecond: number
  sent: number[]
  sentItems: number
}

const STEP_MS = 50
const VIEW_AGE_MS = 500
const WINDOW_MS = 4000
const MS_PER_S = 1000
const TARGET = { id: 'target', failureDomain: 'd0' }

Given('{int} instances in {int} failure domains that share a limit of {float} requests a second', function (
  this: LimitShareWorld, count: number, domains: number, perSecond: number
) {
  this.perSecond = perSecond
  this.sent = []
  this.sentItems = 0
  this.instances = Array.from({ length: count }, (_, index) => createInstance(`i${index}`, index % domains, 0))
})

function createInstance (id: string, domain: number, from: number): Instance {
  return { id, failureDomain: `d${domain}`, from, to: Infinity, allowance: { saved: 0, at: from } }
}

/** An instance knows itself, and the others as they were some time ago. */
function listKnown ({ instances }: LimitShareWorld, self: Instance, now: number): LimitShareInput['instances'] {
  const then = now - VIEW_AGE_MS
  return instances.filter((one) => one === self || (one.from <= Math.max(0, then) && one.to > then))
}

function getAllowance (world: LimitShareWorld, instance: Instance, now: number): number {
  const share = computeLimitShare({
    perSecond: world.perSecond, target: TARGET, self: instance.id, instances: listKnown(world, instance, now)
  })
  instance.allowance = refillAllowance(instance.allowance, share, now)
  return instance.allowance.saved
}

function send (world: LimitShareWorld, instance: Instance, now: number): void {
  instance.allowance.saved -= 1
  world.sent.push(now)
}

When('they send as many requests as they may for {int} s, while instances stop and start every {int} s', function (
  this: LimitShareWorld, seconds: number, everyS: number
) {
  let replaced = 0
  for (let now = 0; now < seconds * MS_PER_S; now += STEP_MS) {
    if (now > 0 && now % (everyS * MS_PER_S) === 0) {
      const stopped = this.instances.filter(({ to }) => to > now)[replaced++ % 3]!
      stopped.to = now
      this.instances.push(createInstance(`${stopped.id}b${now}`, replaced % 4, now))
    }
    for (const instance of this.instances.filter(({ from, to }) => from <= now && to > now)) {
      if (getAllowance(this, instance, now) >= LIVE_ALLOWANCE) send(this, instance, now)
    }
  }
})

When('live requests and batch items wait at all of them for {int} s', function (this: LimitShareWorld, seconds: number) {
  for (let now = 0; now < seconds * MS_PER_S; now += STEP_MS) {
    for (const instance of this.instances) {
      const allowance = getAllowance(this, instance, now)
      if (allowance >= BATCH_ALLOWANCE) this.sentItems += 1
      if (allowance >= LIVE_ALLOWANCE) send(this, instance, now)
    }
  }
})

Then('the target gets at most {int} requests in any 4 s', function (this: LimitShareWorld, most: number) {
  const counts = this.sent.map((first) => this.sent.filter((at) => at >= first && at < first + WINDOW_MS).length)
  assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} requests in 4 s`)
})

Then('it gets at least {int} requests in {int} s', function (this: LimitShareWorld, least: number, _seconds: number) {
  assert.ok(this.sent.length >= least, `${this.sent.length} requests`)
})

Then('no batch item is sent', function (this: LimitShareWorld) {
  assert.equal(this.sentItems, 0)
})
