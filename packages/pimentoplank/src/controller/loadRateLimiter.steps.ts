import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../features/support/manualClock'
import { createLoadRateLimiter, type LoadRateLimiter } from './loadRateLimiter'

const CHECK_INTERVAL_MS = 100

interface LoadRateWorld {
  limiterClock: ManualClock
  limiter: LoadRateLimiter
  startedAt: number[]
}

Given('a load rate limit of {int} MB a second', function (this: LoadRateWorld, rate: number) {
  this.limiterClock = createManualClock()
  this.limiter = createLoadRateLimiter(this.limiterClock, rate)
})

When('loads of {int}, {int}, {int} and {int} MB wait for it one after the other',
  async function (this: LoadRateWorld, a: number, b: number, c: number, d: number) {
    this.startedAt = []
    for (const megabytes of [a, b, c, d]) {
      while (!this.limiter.tryAcquire(megabytes)) await this.limiterClock.advance(CHECK_INTERVAL_MS)
      this.startedAt.push(this.limiterClock.now())
    }
  })

Then('the loads are admitted after {int}, {int}, {int} and {int} ms',
  function (this: LoadRateWorld, a: number, b: number, c: number, d: number) {
    assert.deepEqual(this.startedAt, [a, b, c, d])
  })
