import assert from 'node:assert/strict'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { DatagramSchema, type Datagram } from '../../shared'
import {
  decodeDatagram, encodeBegunStream, encodeDigest, encodeLoad, encodeReport, type DatagramContent
} from './datagrams'
import type { Report, StreamNotice, TargetUse } from './types'

interface DatagramsWorld {
  uses: Map<number, TargetUse>
  received: DatagramContent
}

const ANSWERING = 1
const IDLE = 2
const UNREACHED = 3
const FAILED = 4
const STREAM: StreamNotice = { attempt: 17n, version: 'v1', service: 's', keepUntil: 5000 }

function createReport (uses: Report['uses']): Report {
  return createEmptyReport({
    instance: 'a',
    callerAddress: 'a:80',
    peerAddress: 'a:81',
    failureDomain: 'x',
    uses,
    suspects: new Set([UNREACHED, FAILED]),
    unreached: new Set([UNREACHED]),
    isCutOff: true
  })
}

const encoders: Record<string, (uses: Report['uses']) => Uint8Array> = {
  report: (uses) => encodeReport(createReport(uses), 0),
  'load update': (uses) => encodeLoad({ ...createReport(uses), instance: 1 }, 0),
  digest: (uses) => encodeDigest({ failureDomain: 'x', uses })
}

/** Takes out what older versions don't send. */
function removeNews (bytes: Uint8Array): Uint8Array {
  const datagram: Datagram = fromBinary(DatagramSchema, bytes)
  const { content } = datagram
  if (content.case === 'report') {
    Object.assign(content.value, { unreached: [], cutOff: false, streamsBegun: false })
    for (const use of content.value.uses) use.answering = false
  }
  if (content.case === 'report' || content.case === 'load') {
    for (const notice of content.value.streams) notice.service = ''
  }
  if (content.case === 'load') Object.assign(content.value, { unreached: [], cutOff: false, answering: [], streamsBegun: false })
  return toBinary(DatagramSchema, datagram)
}

function getReceived (world: DatagramsWorld): Pick<Report, 'uses' | 'suspects' | 'unreached' | 'isCutOff'> {
  const { received } = world
  if (received.type === 'report') return received.report
  if (received.type === 'load') return received.load
  assert.ok(received.type === 'digest')
  return { uses: received.digest.uses, suspects: new Set(), unreached: new Set(), isCutOff: false }
}

function listAnswering (world: DatagramsWorld): number[] {
  return [...getReceived(world).uses].filter(([, { isAnswering }]) => isAnswering === true).map(([target]) => target)
}

Given('a target that answers, one that doesn\'t, and a third that is not reached', function (this: DatagramsWorld) {
  this.uses = new Map([
    [IDLE, { live: 1, batch: 2, isAnswering: false }],
    [ANSWERING, { live: 3, batch: 0, isAnswering: true }],
    [UNREACHED, { live: 1, batch: 0 }]
  ])
})

When(/^an instance that is cut off sends a (report|load update|digest)$/, function (this: DatagramsWorld, datagram: string) {
  this.received = decodeDatagram(encoders[datagram]!(this.uses), 0)!
})

When(/^an instance of an older version sends a (report|load update)$/, function (this: DatagramsWorld, datagram: string) {
  this.received = decodeDatagram(removeNews(encoders[datagram]!(this.uses)), 0)!
})

Then('the receiver knows which target answers', function (this: DatagramsWorld) {
  assert.deepEqual(listAnswering(this), [ANSWERING])
  assert.equal(getReceived(this).uses.get(IDLE)?.batch, 2)
})

Then('it knows which suspect is not reached, and that the sender is cut off', function (this: DatagramsWorld) {
  const { suspects, unreached, isCutOff } = getReceived(this)
  assert.deepEqual([...suspects], [UNREACHED, FAILED])
  assert.deepEqual([...unreached], [UNREACHED])
  assert.equal(isCutOff, true)
})

Then('the receiver knows of no target that answers', function (this: DatagramsWorld) {
  assert.deepEqual(listAnswering(this), [])
  assert.equal(getReceived(this).uses.get(ANSWERING)?.live, 3)
})

Then('it takes all suspects for targets that fail, and the sender for one that is not cut off', function (
  this: DatagramsWorld
) {
  const { suspects, unreached, isCutOff } = getReceived(this)
  assert.deepEqual([...suspects], [UNREACHED, FAILED])
  assert.equal(unreached.size, 0)
  assert.equal(isCutOff, false)
})

When(/^an instance (of an older version )?sends a (report|load update) with a stream$/, function (
  this: DatagramsWorld, older: string | null, datagram: string
) {
  const report = { ...createReport(new Map()), streams: [STREAM] }
  const bytes = datagram === 'report' ? encodeReport(report, 0) : encodeLoad({ ...report, instance: 1 }, 0)
  this.received = decodeDatagram(older === null ? bytes : removeNews(bytes), 0)!
})

function getReceivedStreams ({ received }: DatagramsWorld): Pick<Report, 'streams' | 'areStreamsBegun'> {
  assert.ok(received.type === 'report' || received.type === 'load')
  return received.type === 'report' ? received.report : received.load
}

Then(/^the receiver knows that the stream (has begun|was placed)$/, function (this: DatagramsWorld, state: string) {
  const { streams, areStreamsBegun } = getReceivedStreams(this)
  const hasBegun = state === 'has begun'
  assert.deepEqual([...streams], [hasBegun ? STREAM : { ...STREAM, service: undefined }])
  assert.equal(areStreamsBegun, hasBegun)
})

When('an instance sends that a stream begins', function (this: DatagramsWorld) {
  this.received = decodeDatagram(encodeBegunStream(STREAM, 0), 1000)!
})

Then('the receiver knows its service, its version and how long to keep it', function (this: DatagramsWorld) {
  assert.deepEqual(this.received, { type: 'begunStream', streams: [{ ...STREAM, keepUntil: 6000 }] })
})
