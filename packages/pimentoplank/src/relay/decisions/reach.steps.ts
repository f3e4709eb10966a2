import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { SIMULATED_INSTANCES, TARGETS, type ReachRequest } from './testing/reachFleet'
import { simulateReach, type LinkFault, type ReachOutcome, type ReachPattern, type ReachSample } from './testing/reachSimulation'

interface ReachWorld {
  reachPattern: ReachPattern
  /** Instances with the fault. */
  cut: number
  endsAt: number
  reached: ReachOutcome[]
}

const STEP_TIMEOUT_MS = 60_000
const BEGINS_AT = 3000
const LENGTH_MS = 15_000
const ON_TIME_MS = 300
const FAULTS: Record<string, LinkFault> = { hang: 'hangs', 'are refused': 'refuses', 'are silent': 'silent' }

function setFault (
  world: ReachWorld, cut: number, fault: LinkFault, ms: number, [first, last]: [number, number]
): void {
  const endsAt = BEGINS_AT + ms
  Object.assign(world, { cut, endsAt })
  world.reachPattern = {
    lengthMs: LENGTH_MS,
    fault: (instance, target, at) => {
      const isFaulty = instance < cut && target >= first && target <= last && at >= BEGINS_AT && at < endsAt
      return isFaulty ? fault : undefined
    }
  }
}

Given(/^that the connections of (\d+) instances? to all targets (hang|are refused|are silent) for (\d+) ms$/, function (
  this: ReachWorld, cut: string, fault: string, ms: string
) {
  setFault(this, Number(cut), FAULTS[fault]!, Number(ms), [0, TARGETS - 1])
})

Given(/^that the connections of (\d+) instances? to targets (\d+) to (\d+) (hang|are refused|are silent) for (\d+) ms$/, function (
  this: ReachWorld, cut: string, first: string, last: string, fault: string, ms: string
) {
  setFault(this, Number(cut), FAULTS[fault]!, Number(ms), [Number(first), Number(last)])
})

Given('that new connections of {int} instances to all targets are refused for {int} ms', function (
  this: ReachWorld, cut: number, ms: number
) {
  setFault(this, cut, 'refusesNew', ms, [0, TARGETS - 1])
})

Given('{int} requests a second at each instance', function (this: ReachWorld, perSecond: number) {
  this.reachPattern.perSecond = perSecond
})

Given('a fleet of {int} instance', function (this: ReachWorld, instances: number) {
  this.reachPattern.instances = instances
})

When('the reach is simulated with seeds {int} to {int}', { timeout: STEP_TIMEOUT_MS }, async function (
  this: ReachWorld, first: number, last: number
) {
  this.reached = []
  for (let seed = first; seed <= last; seed++) this.reached.push(await simulateReach(this.reachPattern, seed))
})

function listRequests (
  world: ReachWorld, from: number, to: number, isOf: (instance: number) => boolean
): ReachRequest[] {
  return world.reached.flatMap(({ requests }) => requests)
    .filter(({ instance, arrivedAt }) => isOf(instance) && arrivedAt >= from && arrivedAt < to)
}

function listSamples (world: ReachWorld, from: number, to = Infinity): ReachSample[] {
  return world.reached.flatMap(({ samples }) => samples).filter(({ ms }) => ms >= from && ms < to)
}

function assertServed (requests: readonly ReachRequest[], least: number, leastOnTime = 0): void {
  assert.ok(requests.length > 0, 'there were no requests')
  const served = requests.filter(({ isServed }) => isServed).length / requests.length
  const onTime = requests.filter(({ firstMs = Infinity }) => firstMs <= ON_TIME_MS).length / requests.length
  assert.ok(served >= least, `${served} of ${requests.length} were served`)
  assert.ok(onTime >= leastOnTime, `${onTime} of ${requests.length} were on time`)
}

Then(/^the (cut|other) instances serve at least ([\d.]+) of their requests during the fault, ([\d.]+) on time$/, function (
  this: ReachWorld, which: string, least: string, leastOnTime: string
) {
  const requests = listRequests(this, BEGINS_AT, this.endsAt, (instance) => (instance < this.cut) === (which === 'cut'))
  assertServed(requests, Number(least), Number(leastOnTime))
})

Then('the instances serve at least {float} of their requests during the fault', function (this: ReachWorld, least: number) {
  assertServed(listRequests(this, BEGINS_AT, this.endsAt, () => true), least)
})

Then('the instances serve at least {float} of the requests that come later than {int} ms after the fault', function (
  this: ReachWorld, least: number, ms: number
) {
  assertServed(listRequests(this, this.endsAt + ms, LENGTH_MS, () => true), least)
})

Then('the other instances trust at least {float} of the targets during the fault', function (this: ReachWorld, least: number) {
  const samples = listSamples(this, BEGINS_AT, this.endsAt).filter(({ instance }) => instance >= this.cut)
  const suspected = samples.reduce((sum, { suspects }) => sum + suspects.size, 0) / samples.length
  assert.ok(1 - suspected / TARGETS >= least, `${suspected} of ${TARGETS} targets are suspected`)
})

Then('each cut instance knows within {int} ms', function (this: ReachWorld, ms: number) {
  for (const { samples } of this.reached) {
    for (let instance = 0; instance < this.cut; instance++) {
      const since = samples.find((sample) => sample.instance === instance && sample.isCutOff)?.ms ?? Infinity
      assert.ok(since - BEGINS_AT <= ms, `instance ${instance} knows after ${since - BEGINS_AT} ms`)
    }
  }
})

function assertNotCutOff (samples: readonly ReachSample[]): void {
  const [wrong] = samples.filter(({ isCutOff }) => isCutOff)
  assert.equal(wrong, undefined, `instance ${wrong?.instance} believes so at ${wrong?.ms} ms`)
}

Then('no other instance believes to be cut off', function (this: ReachWorld) {
  assert.ok(this.cut < SIMULATED_INSTANCES)
  assertNotCutOff(listSamples(this, 0).filter(({ instance }) => instance >= this.cut))
})

Then('no instance believes to be cut off', function (this: ReachWorld) {
  assertNotCutOff(listSamples(this, 0))
})

Then('no instance believes to be cut off from {int} ms after the beginning of the fault on', function (
  this: ReachWorld, ms: number
) {
  assertNotCutOff(listSamples(this, BEGINS_AT + ms))
})

Then('each instance believes in its path again {int} ms after the fault', function (this: ReachWorld, ms: number) {
  assertNotCutOff(listSamples(this, this.endsAt + ms))
})

Then('no target is suspected from {int} ms after the fault on', function (this: ReachWorld, ms: number) {
  for (const { instance, suspects, ms: at } of listSamples(this, this.endsAt + ms)) {
    assert.deepEqual([...suspects], [], `instance ${instance} at ${at} ms`)
  }
})

Then('at most a quarter of the targets is suspected from {int} ms after the fault on', function (this: ReachWorld, ms: number) {
  const samples = listSamples(this, this.endsAt + ms)
  const suspected = samples.reduce((sum, { suspects }) => sum + suspects.size, 0) / samples.length
  assert.ok(suspected <= TARGETS / 4, `${suspected} targets are suspected`)
})

Then('targets {int} to {int} are suspected by at least {float} of the instances from {int} ms after the beginning of the fault on', function (
  this: ReachWorld, first: number, last: number, least: number, ms: number
) {
  const samples = listSamples(this, BEGINS_AT + ms, this.endsAt)
  for (let target = first; target <= last; target++) {
    const share = samples.filter(({ suspects }) => suspects.has(target)).length / samples.length
    assert.ok(share >= least, `target ${target} is suspected by ${share} of the instances`)
  }
})
