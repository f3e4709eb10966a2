import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSilentLog, hash64, type Clock } from '../../shared'
import { decodeDatagram, encodeLoad, type StreamNotice } from '../gossip'
import type { Target } from '../model'
import { createStreamVersions, type KnownStream, type StreamVersions } from '.'

interface StreamsWorld {
  now: number
  streamVersions?: StreamVersions
  /** Latest entry of the target. */
  entry?: Target
}

const TARGET: Omit<Target, 'version'> = {
  id: 't1', service: 's', address: '127.0.0.1:1', failureDomain: 'a', slots: 4, state: 'ready', startedAt: 1000
}
const KEEP_MS = 10_000
const EMPTY_LOAD = {
  instance: 1,
  incarnation: 1,
  sequence: 1,
  uses: new Map(),
  waiting: [],
  suspects: new Set<number>(),
  unreached: new Set<number>(),
  isCutOff: false,
  areStreamsBegun: true
}

function getStreams (world: StreamsWorld): StreamVersions {
  world.now ??= 0
  world.streamVersions ??= createRegistry(world)
  return world.streamVersions
}

function createRegistry (world: StreamsWorld): StreamVersions {
  const clock = { now: () => world.now } as unknown as Clock
  return createStreamVersions({ getTarget: () => world.entry, clock, log: createSilentLog() })
}

function encodeNotices (world: StreamsWorld): Uint8Array {
  return encodeLoad({ ...EMPTY_LOAD, streams: getStreams(world).getLatestNotices() }, world.now)
}

When('stream {string} begins at a target of version {string}', function (
  this: StreamsWorld, attempt: string, version: string
) {
  getStreams(this).begin(attempt, { ...TARGET, version }, TARGET.startedAt)
})

When('stream {string} begins at that target, where a process answers that started at {int}', function (
  this: StreamsWorld, attempt: string, startedAt: number
) {
  getStreams(this).begin(attempt, { ...TARGET, version: 'v1' }, startedAt)
})

When('{int} ms pass for the streams', function (this: StreamsWorld, ms: number) {
  this.now += ms
})

function register (world: StreamsWorld, version: string, startedAt: number): void {
  world.entry = { ...TARGET, version, startedAt }
  getStreams(world).resolve(world.entry)
}

Given('the target has been registered with version {string} and start {int}', function (
  this: StreamsWorld, version: string, startedAt: number
) {
  register(this, version, startedAt)
})

When('the target is registered with version {string} and start {int}', function (
  this: StreamsWorld, version: string, startedAt: number
) {
  register(this, version, startedAt)
})

When('{int} streams begin at once', function (this: StreamsWorld, count: number) {
  const streams = getStreams(this)
  for (let index = 0; index < count; index++) {
    streams.begin(`r${index}`, { ...TARGET, version: `v${index % 2}` }, TARGET.startedAt)
  }
})

function hear (world: StreamsWorld, attempt: string): KnownStream {
  const received = decodeDatagram(encodeNotices(world), world.now)
  assert.ok(received?.type === 'load')
  const peer = createRegistry(world)
  peer.mergeReport({ ...received.load, instance: 'peer' })
  const known = peer.find(hash64(attempt))
  assert.ok(known !== undefined)
  return known
}

Then('a peer that hears of it knows version {string} of {string}', function (
  this: StreamsWorld, version: string, attempt: string
) {
  const known = hear(this, attempt)
  assert.equal(known.version ?? 'none', version)
  assert.equal(known.source, 'heard')
})

Then('a peer that hears of it knows service {string} of {string}', function (
  this: StreamsWorld, service: string, attempt: string
) {
  assert.equal(hear(this, attempt).service, service)
})

Then('service {string} of {string} is known here', function (this: StreamsWorld, service: string, attempt: string) {
  assert.equal(getStreams(this).find(hash64(attempt))?.service ?? 'none', service)
})

When('a peer tells version {string} and service {string} of {string}', function (
  this: StreamsWorld, version: string, service: string, attempt: string
) {
  getStreams(this).merge({ ...createNotice(this, attempt, version), service }, 'heard')
})

Then('version {string} of {string} is known here', function (this: StreamsWorld, version: string, attempt: string) {
  assert.equal(getStreams(this).find(hash64(attempt))?.version, version)
})

function createNotice (world: StreamsWorld, attempt: string, version: string): StreamNotice {
  return {
    attempt: hash64(attempt), version: version === 'none' ? undefined : version, keepUntil: world.now + KEEP_MS
  }
}

When('a peer tells version {string} of {string}', function (this: StreamsWorld, version: string, attempt: string) {
  const streams = getStreams(this)
  streams.merge(createNotice(this, attempt, version), 'heard')
})

When(/^a report of "(.*)" (in an older version )?tells version "(.*)" of "(.*)"$/, function (
  this: StreamsWorld, instance: string, older: string | null, version: string, attempt: string
) {
  const streams = getStreams(this)
  const notices = [createNotice(this, attempt, version)]
  streams.mergeReport({ instance, incarnation: 1, streams: notices, areStreamsBegun: older === null })
})

Then('{string} is known to have been placed by {string}', function (
  this: StreamsWorld, attempt: string, instance: string
) {
  assert.deepEqual(getStreams(this).findPlacer(hash64(attempt)), { instance, incarnation: 1 })
})

Then('nothing of {string} is known here', function (this: StreamsWorld, attempt: string) {
  assert.equal(getStreams(this).find(hash64(attempt)), undefined)
})

Then('full reports tell {int} stream(s), load updates {int}', function (
  this: StreamsWorld, inReports: number, inUpdates: number
) {
  const streams = getStreams(this)
  assert.deepEqual([streams.getNotices().length, streams.getLatestNotices().length], [inReports, inUpdates])
})

Then('the load update has at most {int} bytes', function (this: StreamsWorld, most: number) {
  assert.ok(encodeNotices(this).length <= most)
})
