import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '.'

interface SleepWorld {
  sleepSignal: AbortController
  sleeps: Array<Promise<void>>
  ended: number
}

function begin (world: SleepWorld, times: number[]): void {
  const clock = createSystemClock()
  world.sleepSignal = new AbortController()
  world.ended = 0
  world.sleeps = times.map(async (ms) => {
    await clock.sleep(ms, world.sleepSignal.signal)
    world.ended += 1
  })
}

When('{int} sleeps of 60 s begin that one signal ends', function (this: SleepWorld, count: number) {
  begin(this, Array.from({ length: count }, () => 60_000))
})

When('a sleep of 10 ms and one of 60 s begin that one signal ends', function (this: SleepWorld) {
  begin(this, [10, 60_000])
})

When('the signal aborts', function (this: SleepWorld) {
  this.sleepSignal.abort()
})

Then('the short one ends by itself', async function (this: SleepWorld) {
  await this.sleeps[0]
})

Then('the long one has not ended', function (this: SleepWorld) {
  assert.equal(this.ended, 1)
})

Then('all of them have ended', async function (this: SleepWorld) {
  await Promise.all(this.sleeps)
  assert.equal(this.ended, this.sleeps.length)
})
