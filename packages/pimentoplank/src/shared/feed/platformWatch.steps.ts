import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { errAsync } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { MINUTE_MS, SECOND_MS } from '../constants'
import { createSilentLog } from '../logging'
import { createInMemoryMetrics } from '../metrics'
import { PlatformUnavailable, type PlatformClient } from '../platform'
import { createFeedState } from './feedState'
import { createFreshness } from './freshness'
import { FEED_TIMINGS } from './objectFeed'
import { computeMaxBackoffMs, watchKind } from './platformWatch'

interface OutageWorld {
  outageClock: ManualClock
  outageCalls: number[]
  stopWatching: AbortController
}

const KIND = 'job'
const MIDDLE_MS = MINUTE_MS
const STEP_MS = SECOND_MS
const STEP_TIMEOUT_MS = MINUTE_MS

Given('a platform that is down for {int} instances that watch it', function (this: OutageWorld, peers: number) {
  const clock = createManualClock()
  this.outageClock = clock
  this.outageCalls = []
  this.stopWatching = new AbortController()
  const fail = (): ReturnType<PlatformClient['listAll']> => {
    this.outageCalls.push(clock.now())
    return errAsync(new PlatformUnavailable('down'))
  }
  const platform = { listAll: fail, watch: fail } as unknown as PlatformClient
  for (let index = 0; index < peers; index++) {
    watchKind(KIND, {
      platform,
      state: createFeedState([KIND]),
      freshness: createFreshness(clock),
      clock,
      random: () => (index % 10) / 10,
      metrics: createInMemoryMetrics(),
      log: createSilentLog(),
      watchWaitMs: FEED_TIMINGS.watchWaitMs,
      getMaxBackoffMs: () => computeMaxBackoffMs({ isWatcher: false, peers, maxPauseMs: FEED_TIMINGS.maxPauseMs })
    }, this.stopWatching.signal)
  }
})

When('2 minutes of the outage pass', { timeout: STEP_TIMEOUT_MS }, async function (this: OutageWorld) {
  for (let passed = 0; passed < 2 * MIDDLE_MS; passed += STEP_MS) await this.outageClock.advance(STEP_MS)
})

Then('the platform received at most {int} calls a second in the last minute', function (this: OutageWorld, most: number) {
  const late = this.outageCalls.filter((at) => at >= MIDDLE_MS)
  assert.ok(late.length > 0)
  assert.ok(late.length <= most * MIDDLE_MS / SECOND_MS, `expected fewer calls, got ${late.length * SECOND_MS / MIDDLE_MS} a second`)
})

After(function (this: Partial<OutageWorld>) {
  this.stopWatching?.abort()
})
