import assert from 'node:assert/strict'
import { Before, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../shared'
import { createSilenceDetector, type SilenceWatch, type SilenceDetector } from './silenceDetector'

interface ActivityWorld {
  detector: SilenceDetector
  isCertain?: boolean
}

const TARGET = 'target-1'
const FIRST_MS = 30
const GAP_MS = 20

Before(function (this: ActivityWorld) {
  this.detector = createSilenceDetector(createSystemClock())
})

async function waitUntilSilent (world: ActivityWorld, prepare?: (watch: SilenceWatch) => void): Promise<void> {
  world.isCertain = await new Promise((resolve) => {
    const watch = world.detector.watch(TARGET, { firstMs: FIRST_MS, gapMs: GAP_MS, onSilent: resolve })
    prepare?.(watch)
  })
}

When('a request exceeds the timeout for its first bytes', async function (this: ActivityWorld) {
  await waitUntilSilent(this)
})

When('another request gets bytes', function (this: ActivityWorld) {
  const watch = this.detector.watch(TARGET, { firstMs: FIRST_MS, gapMs: GAP_MS, onSilent: () => undefined })
  watch.recordBytes()
  watch.stop()
})

When('a request gets bytes and then exceeds the timeout between bytes', async function (this: ActivityWorld) {
  await waitUntilSilent(this, (watch) => watch.recordBytes())
})

When('a request is reported as silent, gets bytes and exceeds the timeout again', async function (this: ActivityWorld) {
  let reports = 0
  this.isCertain = await new Promise((resolve) => {
    const watch = this.detector.watch(TARGET, {
      firstMs: FIRST_MS,
      gapMs: GAP_MS,
      onSilent: (isCertain) => {
        reports += 1
        if (reports === 1) setImmediate(() => watch.recordBytes())
        else resolve(isCertain)
      }
    })
  })
})

Then('the target is reported as silent for certain', function (this: ActivityWorld) {
  assert.equal(this.isCertain, true)
})

Then('the target is reported as possibly silent', function (this: ActivityWorld) {
  assert.equal(this.isCertain, false)
})
