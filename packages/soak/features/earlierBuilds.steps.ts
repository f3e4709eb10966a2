import assert from 'node:assert/strict'
import path from 'node:path'
import { pathToFileURL } from 'node:url'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../pimentoplank/features/support/emptyReport'
import type { JobOwnership, Report, StreamNotice, WaitingItems } from '../../pimentoplank/src/relay/gossip'
import * as present from '../../pimentoplank/src/relay/gossip/datagrams'
import { hash32 } from 'pimentoplank/shared'
import { extractRevision } from '../src'

type Datagrams = Pick<typeof present, 'encodeReport' | 'encodeLoad' | 'encodeBegunStream' | 'decodeDatagram'>

interface EarlierBuildsWorld {
  earlier: Datagrams
  received: Report
  toldWaiting: readonly WaitingItems[]
  toldStreams: readonly StreamNotice[]
}

const TIMEOUT_MS = 60_000
const MODULE = 'packages/pimentoplank/src/relay/gossip/datagrams.ts'
const OWNER = 'instance-1'
const JOB: JobOwnership = { job: 'j', owner: OWNER, epoch: 1, ended: false, isAccepted: true }

Given('the datagrams of {word}', { timeout: TIMEOUT_MS }, async function (this: EarlierBuildsWorld, commit: string) {
  this.earlier = await import(pathToFileURL(path.join(extractRevision(commit), MODULE)).href) as Datagrams
})

function tell (from: Datagrams, to: Datagrams, fields: Partial<Report>): Report {
  const report = createEmptyReport({ instance: OWNER, failureDomain: 'x', peerAddress: 'p', ...fields })
  const received = to.decodeDatagram(from.encodeReport(report, 0), 0)
  assert.ok(received?.type === 'report')
  return received.report
}

When('a present instance tells of job {string} at epoch {int} that was accepted', function (
  this: EarlierBuildsWorld, job: string, epoch: number
) {
  this.received = tell(present, this.earlier, { jobs: [{ ...JOB, job, epoch }] })
})

When('the earlier instance tells of job {string} at epoch {int}', function (
  this: EarlierBuildsWorld, job: string, epoch: number
) {
  this.received = tell(this.earlier, present, { jobs: [{ ...JOB, job, epoch }] })
})

Then('the earlier instance knows its owner', function (this: EarlierBuildsWorld) {
  assert.deepEqual(this.received.jobs.map(({ owner, epoch, ended }) => ({ owner, epoch, ended })), [
    { owner: OWNER, epoch: 1, ended: false }
  ])
})

Then(/^the present instance knows its owner, (but not|and) that it was accepted$/, function (
  this: EarlierBuildsWorld, isKnown: string
) {
  const [notice] = this.received.jobs
  assert.deepEqual([notice?.owner, notice?.isAccepted], [OWNER, isKnown === 'and'])
})

function tellLoad (from: Datagrams, to: Datagrams, fields: Partial<Report>): Pick<Report, 'waiting' | 'streams'> {
  const load = createEmptyReport({ instance: OWNER, failureDomain: 'x', peerAddress: 'p', ...fields })
  const received = to.decodeDatagram(from.encodeLoad({ ...load, instance: 1 }, 0), 0)
  assert.ok(received?.type === 'load')
  return received.load
}

function tellWaiting (from: Datagrams, to: Datagrams, datagram: string, service?: string): readonly WaitingItems[] {
  const waiting = [{ dueAt: 1000, count: 3, service: service === undefined ? undefined : hash32(service) }]
  return (datagram === 'report' ? tell : tellLoad)(from, to, { waiting }).waiting
}

function tellStream (from: Datagrams, to: Datagrams, datagram: string, service?: string): readonly StreamNotice[] {
  const stream: StreamNotice = { attempt: 7n, version: 'v1', service, keepUntil: 1000 }
  if (datagram !== 'first notice') return (datagram === 'report' ? tell : tellLoad)(from, to, { streams: [stream] }).streams
  const received = to.decodeDatagram(from.encodeBegunStream(stream, 0), 0)
  assert.ok(received?.type === 'begunStream')
  return received.streams
}

When(/^a present instance tells in a (report|load update) of 3 items that wait (?:where all run at one service|for service "(.*)")$/, function (
  this: EarlierBuildsWorld, datagram: string, service: string | undefined
) {
  this.toldWaiting = tellWaiting(present, this.earlier, datagram, service)
  const [known] = tellWaiting(present, present, datagram, service)
  assert.deepEqual([known?.count, known?.service], [3, service === undefined ? undefined : hash32(service)])
})

When(/^the earlier instance tells in a (report|load update) of 3 waiting items$/, function (
  this: EarlierBuildsWorld, datagram: string
) {
  this.toldWaiting = tellWaiting(this.earlier, present, datagram)
})

Then('the earlier instance knows of {int} waiting items', function (this: EarlierBuildsWorld, count: number) {
  assert.equal(this.toldWaiting.reduce((sum, one) => sum + one.count, 0), count)
})

Then('the present instance knows of {int} that wait for a service that isn\'t said', function (
  this: EarlierBuildsWorld, count: number
) {
  assert.deepEqual(this.toldWaiting.map((one) => [one.count, one.service]), [[count, undefined]])
})

When(/^a present instance tells in a (report|load update|first notice) that a stream began at version "v1" of service "(.*)"$/, function (
  this: EarlierBuildsWorld, datagram: string, service: string
) {
  this.toldStreams = tellStream(present, this.earlier, datagram, service)
  assert.deepEqual(tellStream(present, present, datagram, service).map((one) => one.service), [service])
})

When(/^the earlier instance tells in a (report|load update|first notice) that a stream began at version "v1"$/, function (
  this: EarlierBuildsWorld, datagram: string
) {
  this.toldStreams = tellStream(this.earlier, present, datagram)
})

Then('the earlier instance knows version {string} of it', function (this: EarlierBuildsWorld, version: string) {
  assert.deepEqual(this.toldStreams.map((one) => one.version), [version])
})

Then('the present instance knows version {string} of it, and no service', function (
  this: EarlierBuildsWorld, version: string
) {
  assert.deepEqual(this.toldStreams.map((one) => [one.version, one.service]), [[version, undefined]])
})
