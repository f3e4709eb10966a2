import assert from 'node:assert/strict'
import { createSocket, type Socket } from 'node:dgram'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { waitUntil } from '../../../features/support/waitUntil'
import { createInMemoryMetrics, createSilentLog, createSystemClock, type Metrics } from '../../shared'
import { startGossip, type Gossip, type Report } from '.'
import { encodeReport } from './datagrams'

interface GossipLimitsWorld {
  limitedGossip?: Gossip
  gossipPort: number
  gossipMetrics: Metrics
  sender: Socket
}

const HOST = '127.0.0.1'
const LONG_MS = 60_000
const PACE = { minGapMs: LONG_MS, heartbeatMs: LONG_MS, silentAfterMs: LONG_MS }
const SELF = { instance: 'self', failureDomain: 'x', peerAddress: HOST }
let nextPort = 41_000 + process.pid % 20_000

async function start (world: GossipLimitsWorld, maxPeers: number): Promise<void> {
  const port = nextPort++
  const started = await startGossip({
    instance: { id: 'self', failureDomain: 'x', region: 'r' },
    incarnation: 1,
    listen: { host: HOST, port },
    peerAddress: `${HOST}:${port}`,
    seeds: [],
    settings: { pace: PACE, paceOfLargeFleet: PACE, farFactor: 4, digestMs: LONG_MS, maxClosePeers: 16, maxPeers },
    getOwnReport: () => createEmptyReport(SELF),
    getOwnLoad: () => createEmptyReport(SELF),
    getFarUses: () => ({ own: new Map(), domain: new Map() }),
    onYield: () => undefined,
    clock: createSystemClock(),
    random: Math.random,
    metrics: world.gossipMetrics,
    log: createSilentLog()
  })
  if (started.isErr()) return await start(world, maxPeers)
  world.gossipPort = port
  world.limitedGossip = started.value
}

async function send (
  world: GossipLimitsWorld, report: Pick<Report, 'instance' | 'peerAddress' | 'sequence'> & Partial<Report>
): Promise<void> {
  const bytes = encodeReport(createEmptyReport({ failureDomain: 'x', ...report }), 0)
  await new Promise((resolve) => world.sender.send(bytes, world.gossipPort, HOST, resolve))
}

function listPeers (world: GossipLimitsWorld): string[] {
  return world.limitedGossip!.peers().map(({ report }) => report.instance)
}

Given('an instance that knows at most {int} peers', async function (this: GossipLimitsWorld, count: number) {
  this.gossipMetrics = createInMemoryMetrics()
  this.sender = createSocket('udp4')
  await start(this, count)
})

When('it gets reports of {int} instances, each of which names {int} further addresses', async function (
  this: GossipLimitsWorld, count: number, named: number
) {
  for (let index = 1; index <= count; index++) {
    const knownPeers = Array.from({ length: named }, (_, number) => `127.0.0.1:${index * 10 + number}`)
    await send(this, { instance: `peer-${index}`, sequence: 1, knownPeers, peerAddress: `127.0.0.1:${index}` })
  }
})

Then('it knows the first {int} of them', async function (this: GossipLimitsWorld, count: number) {
  await waitUntil(() => this.gossipMetrics.snapshot().counters['gossip.peersIgnored'] === 2)
  assert.deepEqual(listPeers(this), Array.from({ length: count }, (_, index) => `peer-${index + 1}`))
})

When('it gets a second report of the first one', async function (this: GossipLimitsWorld) {
  await send(this, { instance: 'peer-1', sequence: 2, peerAddress: '127.0.0.1:1', callerAddress: 'new' })
})

Then('it knows the second report', async function (this: GossipLimitsWorld) {
  await waitUntil(() => this.limitedGossip!.peers()[0]!.report.callerAddress === 'new')
})

After(async function (this: GossipLimitsWorld) {
  if (this.limitedGossip === undefined) return
  this.sender.close()
  await this.limitedGossip.close()
})
