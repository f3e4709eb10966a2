import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog } from '../../shared'
import type { ProcessView } from '../decisions'
import { createCrashChecks, type CheckedTarget, type CrashChecks } from './crashChecks'

interface ChecksWorld {
  checksClock: ManualClock
  checks: CrashChecks
  checked: CheckedTarget
  entry: CheckedTarget
  checksClosed: AbortController
  /** Looks that have not been answered yet. */
  looks: Array<(views: ProcessView[]) => void>
  lookCount: number
  fates: boolean[]
}

const SETTLE_TURNS = 5
const STEP_MS = 50

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) await new Promise((resolve) => setImmediate(resolve))
}

async function show (world: ChecksWorld, view: ProcessView): Promise<void> {
  assert.ok(world.looks.length > 0, 'the process is not looked for')
  world.looks.shift()!([view])
  await settle()
}

Given(/^a target whose process (?:started at (\d+)|does not tell its start)$/, function (
  this: ChecksWorld, start: string | undefined
) {
  this.checksClock = createManualClock()
  this.checked = { id: 'a', address: 'a:80', startedAt: start === undefined ? undefined : Number(start) }
  Object.assign(this, { entry: this.checked, checksClosed: new AbortController(), looks: [], lookCount: 0, fates: [] })
  this.checks = createCrashChecks({
    viewProcess: async () => await new Promise((resolve) => {
      this.lookCount += 1
      this.looks.push(resolve)
    }),
    getTarget: () => this.entry,
    closed: this.checksClosed.signal,
    clock: this.checksClock,
    metrics: createInMemoryMetrics(),
    log: createSilentLog()
  })
})

When('its connection breaks as a request begins', async function (this: ChecksWorld) {
  this.checks.check(this.checked).then((cause) => this.fates.push(cause === 'crashed'), () => undefined)
  await settle()
})

When(/^it is seen that a process answers which (?:started at (\d+)|does not tell its start)$/, async function (
  this: ChecksWorld, start: string | undefined
) {
  await show(this, { type: 'process', startedAt: start === undefined ? undefined : Number(start) })
})

When(/^it is seen that nothing listens, over a path that (works|is lost)$/, async function (
  this: ChecksWorld, path: string
) {
  await show(this, { type: 'nothing', isPathSound: path === 'works' })
})

When('connections are reset for {int} ms', async function (this: ChecksWorld, ms: number) {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    await this.checksClock.advance(STEP_MS)
    if (this.looks.length > 0) await show(this, { type: 'unclear' })
  }
  await this.checksClock.advance(1000)
  await settle()
})

When('its entry is replaced by that of a process which started at {int}', function (this: ChecksWorld, start: number) {
  this.entry = { ...this.checked, startedAt: start }
})

When('the instance closes', async function (this: ChecksWorld) {
  this.checksClosed.abort()
  while (this.looks.length > 0) await show(this, { type: 'unclear' })
})

Then(/^it has (not )?crashed$/, function (this: ChecksWorld, not: string | null) {
  assert.deepEqual(this.fates, [not === null])
})

Then('it is not known to have crashed', function (this: ChecksWorld) {
  assert.deepEqual(this.fates, [])
})

Then('it has crashed, as seen {int} time(s)', function (this: ChecksWorld, count: number) {
  assert.equal(this.fates.filter((hasCrashed) => hasCrashed).length, count)
})

Then('it was looked for at most {int} times', function (this: ChecksWorld, most: number) {
  assert.ok(this.lookCount <= most, `${this.lookCount} looks`)
})
