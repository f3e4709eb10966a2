import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSilentLog, hash64, type Clock } from '../../shared'
import { decodeDatagram, encodeLoad, type StreamNotice } from '../gossip'
import type { Target } from '../model'
import { createStreamVersions, type StreamReport, type StreamVersions } from '.'

interface StreamsWorld {
  now: number
  streamVersions?: StreamVersions
  /** Latest reports of peers. */
  reports?: Map<string, StreamReport>
  /** Latest entry of the target. */
  entry?: Target
}

const TARGET: Omit<Target, 'version'> = {
  id: 't1', service: 's', address: '127.0.0.1:1', failureDomain: 'a', slots: 4, state: 'ready', startedAt: 1000
}
const KEEP_MS = 10_000
const HEARTBEAT_MS = 300
const LONG_MS = 3000
const STEP_MS = 100
const EMPTY_LOAD = {
  instance: 1,
  incarnation: 1,
  sequence: 1,
  uses: new Map(),
  waiting: [],
  suspects: new Set<number>(),
  unreached: new Set<number>(),
  isCutOff: false
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

When('attempt {string} is placed at a target of version {string}', function (
  this: StreamsWorld, attempt: string, version: string
) {
  getStreams(this).recordPlacement(attempt, { ...TARGET, version }, TARGET.startedAt)
})

When('attempt {string} is placed at that target, where a process answers that started at {int}', function (
  this: StreamsWorld, attempt: string, startedAt: number
) {
  getStreams(this).recordPlacement(attempt, { ...TARGET, version: 'v1' }, startedAt)
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

When('{int} attempts are placed at once', function (this: StreamsWorld, count: number) {
  const streams = getStreams(this)
  for (let index = 0; index < count; index++) {
    streams.recordPlacement(`r${index}`, { ...TARGET, version: `v${index % 2}` }, TARGET.startedAt)
  }
})

Then('a peer that hears of it knows version {string} of {string}', function (
  this: StreamsWorld, version: string, attempt: string
) {
  const received = decodeDatagram(encodeNotices(this), this.now)
  assert.ok(received?.type === 'load')
  const peer = createRegistry(this)
  peer.mergeReport({ ...received.load, instance: 'peer' }, undefined)
  const known = peer.find(hash64(attempt))
  assert.ok(known !== undefined)
  assert.equal(known.version ?? 'none', version)
  assert.equal(known.source, 'heard')
})

Then('version {string} of {string} is known here', function (this: StreamsWorld, version: string, attempt: string) {
  assert.equal(getStreams(this).find(hash64(attempt))?.version, version)
})

When('peer {string} tells version {string} of {string}', function (
  this: StreamsWorld, peer: string, version: string, attempt: string
) {
  receiveReport(this, peer, 1, [{ attempt: hash64(attempt), version, keepUntil: this.now + KEEP_MS }])
})

/** @param step - number of reports that the peer has sent since the last one, including this one */
function receiveReport (world: StreamsWorld, instance: string, step: number, streams: StreamNotice[]): void {
  const before = world.reports?.get(instance)
  const report = { instance, incarnation: 1, sequence: (before?.sequence ?? 0) + step, streams }
  getStreams(world).mergeReport(report, before)
  world.reports = new Map([...world.reports ?? [], [instance, report]])
}

When('{int} reports of peer {string} are missed', function (this: StreamsWorld, count: number, peer: string) {
  receiveReport(this, peer, count + 1, [])
})

Given('peers {string} and {string} have been heard for long', function (
  this: StreamsWorld, first: string, second: string
) {
  const peers = [first, second]
  for (let passed = 0; passed < LONG_MS; passed += HEARTBEAT_MS) {
    for (const peer of peers) receiveReport(this, peer, 1, [])
    this.now += HEARTBEAT_MS
  }
})

When('peer {string} is not heard for {int} ms', function (this: StreamsWorld, peer: string, ms: number) {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    this.now += STEP_MS
    for (const other of this.reports!.keys()) if (other !== peer) receiveReport(this, other, 1, [])
  }
})

When('peer {string} is lost, and then heard again', function (this: StreamsWorld, peer: string) {
  const before = this.reports!.get(peer)!
  getStreams(this).mergeReport({ ...before, sequence: before.sequence + 1, streams: [] }, undefined)
})

Then(/^version "(.*)" of "(.*)" is (not )?in doubt here$/, function (
  this: StreamsWorld, version: string, attempt: string, not: string | null
) {
  const { version: found, isInDoubt } = getStreams(this).find(hash64(attempt))!
  assert.deepEqual({ found, isInDoubt }, { found: version, isInDoubt: not === null })
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
