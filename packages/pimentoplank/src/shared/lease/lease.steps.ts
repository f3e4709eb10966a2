import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createLeaseObserver, tryAcquireLease, type Lease, type LeaseObserver } from '..'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createMemoryPlatform, type MemoryPlatform } from '../../../features/support/memoryPlatform'

const SECOND = 1000

interface LeaseWorld {
  lengthMs: number
  renewEveryMs: number
  leaseClock: ManualClock
  leasePlatform: MemoryPlatform
  leases: Map<string, Lease>
  observers: Map<string, LeaseObserver>
}

async function tryAcquire (world: LeaseWorld, holder: string): Promise<void> {
  const { leaseClock: clock, leasePlatform, lengthMs, renewEveryMs } = world
  if (world.leases.get(holder)?.isHeld() === true) return
  const observer = world.observers.get(holder) ?? createLeaseObserver({ clock })
  world.observers.set(holder, observer)
  const deps = { platform: leasePlatform.client(holder), clock, observer }
  const lease = await tryAcquireLease(deps, { name: 'batch-one', holder, lengthMs, renewEveryMs })
  if (lease.isOk() && lease.value !== null) world.leases.set(holder, lease.value)
}

function holders (world: LeaseWorld): string[] {
  return [...world.leases].filter(([, lease]) => lease.isHeld()).map(([holder]) => holder)
}

Given('a lease of {int} s that is renewed every {int} s', function (this: LeaseWorld, length: number, renew: number) {
  this.lengthMs = length * SECOND
  this.renewEveryMs = renew * SECOND
  this.leaseClock = createManualClock()
  this.leasePlatform = createMemoryPlatform()
  this.leases = new Map()
  this.observers = new Map()
})

When('the process {string} tries to acquire the lease', async function (this: LeaseWorld, holder: string) {
  await tryAcquire(this, holder)
})

When('the process {string} releases the lease', async function (this: LeaseWorld, holder: string) {
  await this.leases.get(holder)!.release()
})

When('the lease writes of {string} fail', function (this: LeaseWorld, holder: string) {
  this.leasePlatform.faultOf = (call) => call.client === holder ? 'down' : undefined
})

When('the lease writes of {string} succeed again', function (this: LeaseWorld, _holder: string) {
  this.leasePlatform.faultOf = () => undefined
})

When('the platform applies the next lease write of {string} and loses its response', function (this: LeaseWorld, holder: string) {
  let remaining = 1
  this.leasePlatform.faultOf = (call) =>
    call.client === holder && call.operation === 'put' && remaining-- > 0 ? 'loseAnswer' : undefined
})

When('{int} s pass for the lease', async function (this: LeaseWorld, seconds: number) {
  await this.leaseClock.advance(seconds * SECOND)
})

When('{int} s pass for the lease while {string} tries to acquire it every {int} s',
  async function (this: LeaseWorld, seconds: number, holder: string, every: number) {
    for (let passed = 0; passed < seconds; passed += every) {
      await tryAcquire(this, holder)
      await this.leaseClock.advance(Math.min(every, seconds - passed) * SECOND)
    }
    await tryAcquire(this, holder)
  })

Then('the lease is held by {string} at epoch {int} and not by {string}',
  function (this: LeaseWorld, holder: string, epoch: number, other: string) {
    assert.deepEqual(holders(this), [holder])
    assert.equal(this.leases.get(holder)!.epoch(), epoch)
    assert.notEqual(holder, other)
  })

Then('the lease is held by nobody', function (this: LeaseWorld) {
  assert.deepEqual(holders(this), [])
})

Then('the lease of {string} is lost permanently', function (this: LeaseWorld, holder: string) {
  assert.equal(this.leases.get(holder)!.lost.aborted, true)
})

When('the lease observer reads revision {int}', function (this: LeaseWorld, revision: number) {
  const observer = this.observers.get('') ?? createLeaseObserver({ clock: this.leaseClock })
  this.observers.set('', observer)
  observer.observe('batch-one', revision)
})

Then(/^the lease observer takes it as (held|lapsed)$/, function (this: LeaseWorld, state: string) {
  assert.equal(this.observers.get('')!.hasExpired('batch-one', this.lengthMs), state === 'lapsed')
})

After(async function (this: LeaseWorld) {
  for (const lease of this.leases?.values() ?? []) await lease.release()
})
