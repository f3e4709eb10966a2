import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createSilentLog, hash32, rankByRendezvous } from '../../shared'
import { encodeReport } from '../gossip/datagrams'
import type { CallerRequest } from '../model'
import { createCrashTracker, type CrashReason, type CrashTracker } from './crashTracker'

interface Instance {
  id: string
  tracker: CrashTracker
  isDeaf: boolean
}

interface TrackersWorld {
  trackerClock: ManualClock
  trackers: Instance[]
  areAnswered: boolean
  reached: number
  prompts: number
  delayMs: number
  /** True while targets answer after they have closed connections. */
  areTargetsAlive?: boolean
  request?: CallerRequest
}

const STEP_TIMEOUT_MS = 30_000
/** Longer than a young process waits for what its peers know, in milliseconds. */
const OLD_MS = 5000
const CRASH_GAP_MS = 150
const KEEP_MS = 600_000
const MINUTE_MS = 60_000

function createPrompt (world: TrackersWorld, part: string): CallerRequest {
  const id = `p${world.prompts++}`
  return {
    id, host: 'h', method: 'POST', path: '/', headers: ['Prompt', `${part},${id}`], body: Buffer.from(id)
  }
}

/** Exchanges the reports of all instances. */
async function exchangeReports (world: TrackersWorld): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
  const reports = world.trackers.map(({ tracker }) => tracker.getReport())
  await world.trackerClock.advance(world.delayMs)
  world.trackers.forEach(({ tracker, isDeaf }, index) => {
    reports.forEach((report, sender) => { if (sender !== index && !isDeaf) tracker.merge(report) })
  })
}

function crash (
  { tracker }: Instance, target: string, request: CallerRequest, reason: CrashReason = 'broken'
): void {
  tracker.recordPossibleCrash({ id: target, address: target, startedAt: undefined }, request, reason)
}

Given('{int} instances that hear each other\'s reports after {int} ms', async function (
  this: TrackersWorld, count: number, delayMs: number
) {
  const clock = createManualClock()
  Object.assign(this, { trackerClock: clock, areAnswered: false, reached: 0, prompts: 0, delayMs })
  const ids = Array.from({ length: count }, (_, index) => `i${index + 1}`)
  this.trackers = ids.map((id) => ({
    id,
    isDeaf: false,
    tracker: createCrashTracker({
      keepMs: KEEP_MS,
      decodePromptParts: (headers) => headers[1]!.split(','),
      isProber: (key, { probe, turn }) => rankByRendezvous(`${key} ${probe}`, ids, (one) => one)[turn % count] === id,
      checks: { check: async () => this.areTargetsAlive === true ? 'closed' : 'crashed' },
      onChange: () => undefined,
      onFound: () => undefined,
      clock,
      log: createSilentLog()
    })
  }))
  await clock.advance(OLD_MS)
})

Given('the part {string} crashed {int} targets of each prompt that had it', async function (
  this: TrackersWorld, part: string, count: number
) {
  for (let index = 0; index < count; index++) {
    crash(this.trackers[index]!, `t${index}`, createPrompt(this, part))
    await new Promise((resolve) => setImmediate(resolve))
    await this.trackerClock.advance(CRASH_GAP_MS)
  }
  await exchangeReports(this)
  assert.ok(this.trackers.every(({ tracker }) => tracker.isRefused(createPrompt(this, part))), 'the part is not refused')
})

Given('requests with the part {string} are answered from now on', function (this: TrackersWorld, _part: string) {
  this.areAnswered = true
})

Given(/^instance (\d) hears (nothing|the others again)$/, function (this: TrackersWorld, number: string, what: string) {
  this.trackers[Number(number) - 1]!.isDeaf = what === 'nothing'
})

When('requests with the part {string} arrive at instances {int} to {int} every {int} ms for {int} s', { timeout: STEP_TIMEOUT_MS }, async function (
  this: TrackersWorld, part: string, first: number, last: number, gapMs: number, seconds: number
) {
  const until = this.trackerClock.now() + seconds * 1000
  let exchangedAt = this.trackerClock.now()
  while (this.trackerClock.now() < until) {
    for (const instance of this.trackers.slice(first - 1, last)) {
      const request = createPrompt(this, part)
      if (instance.tracker.isRefused(request) && !instance.tracker.mayProbe(request)) continue
      this.reached += 1
      if (this.areAnswered) instance.tracker.recordAnswer(request.headers)
      else crash(instance, `t${this.prompts}`, request)
    }
    await this.trackerClock.advance(gapMs)
    if (this.trackerClock.now() - exchangedAt < this.delayMs) continue
    await exchangeReports(this)
    exchangedAt = this.trackerClock.now()
  }
})

When('{int} s passes without requests', async function (this: TrackersWorld, seconds: number) {
  const until = this.trackerClock.now() + seconds * 1000
  while (this.trackerClock.now() < until) await exchangeReports(this)
})

Then('{int} to {int} of them reached targets', function (this: TrackersWorld, least: number, most: number) {
  assert.ok(this.reached >= least && this.reached <= most, `${this.reached} reached targets`)
})

Then(/^(every|no) instance lets requests with the part "(\w+)" through$/, function (
  this: TrackersWorld, which: string, part: string
) {
  const passing = this.trackers.filter(({ tracker }) => !tracker.isRefused(createPrompt(this, part)))
    .map(({ id }) => id)
  assert.deepEqual(passing, which === 'every' ? this.trackers.map(({ id }) => id) : [])
})

When(/^(\d+) living targets close (kept|new) connections under the same prompt$/, async function (
  this: TrackersWorld, count: string, kind: string
) {
  this.areTargetsAlive = true
  this.request = createPrompt(this, 'part')
  for (let target = 0; target < Number(count); target++) {
    crash(this.trackers[0]!, `living${target}`, this.request, kind === 'kept' ? 'staleConnection' : 'broken')
    await this.trackerClock.advance(MINUTE_MS)
  }
})

Then(/^the prompt is (refused|let through)$/, function (this: TrackersWorld, outcome: string) {
  assert.equal(this.trackers[0]!.tracker.isRefused(this.request!), outcome === 'refused')
})

async function crashUnder (world: TrackersWorld, target: string, request: CallerRequest): Promise<void> {
  crash(world.trackers[0]!, target, request)
  await new Promise((resolve) => setImmediate(resolve))
}

When('{int} targets crash at instance 1 under {int} prompts of {int} parts each', async function (
  this: TrackersWorld, targets: number, prompts: number, parts: number
) {
  for (let target = 0; target < targets; target++) {
    for (let prompt = 0; prompt < prompts; prompt++) {
      const own = Array.from({ length: parts }, (_, part) => `${target}-${prompt}-${part}`)
      this.request = createPrompt(this, own.join())
      await crashUnder(this, `t${target}`, this.request)
    }
    await this.trackerClock.advance(CRASH_GAP_MS)
  }
})

Then('the report of instance 1 has at most {int} bytes, and names the last crash', function (
  this: TrackersWorld, most: number
) {
  const report = this.trackers[0]!.tracker.getReport()
  const bytes = encodeReport(createEmptyReport({ instance: 'i1', failureDomain: 'x', peerAddress: '', ...report }), 0)
  assert.ok(bytes.length <= most, `${bytes.length} bytes`)
  assert.equal(report.crashes.at(-1)?.target, hash32('t15'))
})

Then('the last of these prompts is refused after it has crashed {int} targets', async function (
  this: TrackersWorld, count: number
) {
  for (let target = 1; target < count; target++) await crashUnder(this, `other${target}`, this.request!)
  assert.equal(this.trackers[0]!.tracker.isRefused(this.request!), true)
})
