import assert from 'node:assert/strict'
import { createSocket, type Socket } from 'node:dgram'
import { setTimeout as pause } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createMetrics, createSilentLog, createSystemClock, hash32 } from '../../shared'
import { createPeerUses, type PeerUses } from '../load'
import { startGossip, type Gossip, type PeerView, type TargetUse } from '.'

interface Member {
  gossip: Gossip
  peerUses: PeerUses
  near: Map<number, TargetUse>
  far: Map<number, TargetUse>
  lost: string[]
  /** Streams of which it was told as they began. */
  begun: bigint[]
  address: string
}

interface LargeFleetWorld {
  largeFleet?: Map<string, Member>
  silentPeer?: Socket
}

const STEP_TIMEOUT_MS = 15_000
const HEARD_MS = 5000
const PACE = { minGapMs: 5, heartbeatMs: 100, silentAfterMs: 400 }
const SETTINGS = { pace: PACE, paceOfLargeFleet: PACE, farFactor: 4, digestMs: 50 }
/** The target in failure domain "a". */
const NEAR_TARGET = hash32('ta')
const BEGUN = { attempt: 17n, version: 'v1', keepUntil: Infinity }
let nextPort = 21_000 + process.pid % 20_000

/** Starts a member; tries the next port if one is in use. */
async function startMember (id: string, seeds: readonly string[], maxClosePeers = 1): Promise<Member> {
  const near = new Map<number, TargetUse>()
  const far = new Map<number, TargetUse>()
  const port = nextPort++
  const address = `127.0.0.1:${port}`
  const started = await startGossip({
    instance: { id, failureDomain: id[0]!, region: 'r' },
    incarnation: 1,
    listen: { host: '127.0.0.1', port },
    peerAddress: address,
    seeds,
    settings: { ...SETTINGS, maxClosePeers },
    getOwnReport: () => ({
      stage: 'serving',
      callerAddress: address,
      jobs: [],
      crashes: [],
      crashingParts: [],
      answeredParts: [],
      limits: [],
      streams: [],
      leaving: [],
      configRevision: 1,
      openJobs: new Map()
    }),
    getOwnLoad: () => ({
      uses: new Map([...near, ...far]),
      waiting: [],
      suspects: new Set(),
      unreached: new Set(),
      isCutOff: false,
      streams: [],
      areStreamsBegun: true
    }),
    getFarUses: () => ({ own: far, domain: domainUses() }),
    onYield: () => undefined,
    clock: createSystemClock(),
    random: Math.random,
    metrics: createMetrics(),
    log: createSilentLog()
  })
  if (started.isErr()) return await startMember(id, seeds, maxClosePeers)
  const gossip = started.value
  const peerUses = createPeerUses([], createSystemClock())
  const lost: string[] = []
  const begun: bigint[] = []

  function domainUses (): Map<number, TargetUse> {
    // Only instances of failure domain "a" report the use of its targets in digests.
    if (!id.startsWith('a')) return new Map()
    const live = (near.get(NEAR_TARGET)?.live ?? 0) + peerUses.getUse(NEAR_TARGET).live
    return new Map([[NEAR_TARGET, { live, batch: 0 }]])
  }

  gossip.onReport((report, before) => peerUses.replaceReport(before, report))
  gossip.onDigest(peerUses.replaceDigest)
  gossip.onPeerLost(({ report }) => {
    lost.push(report.instance)
    peerUses.replaceReport(report, undefined)
    const domains = new Set(gossip.peers().map((peer) => peer.report.failureDomain))
    peerUses.retainDigests((failureDomain) => domains.has(failureDomain))
  })
  gossip.onBegunStream(({ attempt, version }) => { if (version === BEGUN.version) begun.push(attempt) })
  gossip.start()
  return { gossip, peerUses, near, far, lost, begun, address }
}

function getMember (world: LargeFleetWorld, id: string): Member {
  return world.largeFleet!.get(id)!
}

function getSeenLive (world: LargeFleetWorld, id: string, target: string): number {
  return getMember(world, id).peerUses.getUse(hash32(target)).live
}

async function waitUntil (isMet: () => boolean, ms: number, what: () => string): Promise<void> {
  const end = Date.now() + ms
  while (!isMet()) {
    assert.ok(Date.now() < end, what())
    await pause(5)
  }
}

Given('instances {string} and {string} of failure domain "a", and {string} of "b", where each may send load updates to one peer only', async function (
  this: LargeFleetWorld, first: string, second: string, third: string
) {
  const members = new Map<string, Member>()
  this.largeFleet = members
  for (const id of [first, second, third]) {
    members.set(id, await startMember(id, [...members.values()].map(({ address }) => address)))
  }
  const all = [...members.values()]
  await waitUntil(
    () => all.every(({ gossip }) => gossip.peers().length === 2), 5000, () => 'not every instance has reports of both others'
  )
})

When('{string} has {int} live request(s) at the target {string} of {word} failure domain', function (
  this: LargeFleetWorld, id: string, live: number, target: string, whose: string
) {
  const { near, far, gossip } = getMember(this, id)
  const uses = whose === 'its' ? near : far
  uses.set(hash32(target), { live, batch: 0 })
  gossip.reportLoadChange()
})

When('{string} and {string} crash', async function (this: LargeFleetWorld, first: string, second: string) {
  await getMember(this, first).gossip.close()
  await getMember(this, second).gossip.close()
})

Then('{string} sees {int} live request(s) at {string} within {int} ms', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LargeFleetWorld, id: string, live: number, target: string, ms: number
) {
  await waitUntil(
    () => getSeenLive(this, id, target) === live, ms,
    () => `got ${getSeenLive(this, id, target)} live requests instead`
  )
})

Then('for {int} ms {string} never sees more than {int} live requests at {string}', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LargeFleetWorld, ms: number, id: string, most: number, target: string
) {
  for (const end = Date.now() + ms; Date.now() < end; await pause(5)) assert.ok(getSeenLive(this, id, target) <= most)
})

Then('for {int} ms no instance is declared lost', { timeout: STEP_TIMEOUT_MS }, async function (this: LargeFleetWorld, ms: number) {
  await pause(ms)
  for (const [id, { lost }] of this.largeFleet!) assert.deepEqual(lost, [], id)
})

Given('an instance {string} that takes part in a large fleet', async function (this: LargeFleetWorld, id: string) {
  this.largeFleet!.set(id, await startMember(id, [], 0))
})

When('{string} starts that knows the address of {string} and one that is silent', async function (
  this: LargeFleetWorld, id: string, known: string
) {
  const silent = createSocket('udp4')
  await new Promise<void>((resolve) => silent.bind(0, '127.0.0.1', resolve))
  this.silentPeer = silent
  const seeds = [getMember(this, known).address, `127.0.0.1:${silent.address().port}`]
  this.largeFleet!.set(id, await startMember(id, seeds))
})

Then('{string} hears {string} within {int} ms', async function (this: LargeFleetWorld, id: string, peer: string, ms: number) {
  const hasHeard = (): boolean => getMember(this, id).gossip.peers().some(({ report }) => report.instance === peer)
  await waitUntil(hasHeard, ms, () => `${id} has not heard ${peer}`)
})

When('a stream begins at {string}, which tells {string} and {string}, and ends', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LargeFleetWorld, id: string, first: string, second: string
) {
  const { gossip } = getMember(this, id)
  const findPeers = (): PeerView[] => gossip.peers().filter(({ report }) => [first, second].includes(report.instance))
  await waitUntil(() => findPeers().length === 2, HEARD_MS, () => 'the peers are not known')
  await gossip.tellBegunStream({ ...BEGUN, keepUntil: performance.now() }, findPeers())
  await gossip.close()
})

Then('{string} and {string} have heard of the stream within {int} ms', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LargeFleetWorld, first: string, second: string, ms: number
) {
  const told = [first, second].map((id) => getMember(this, id).begun)
  await waitUntil(() => told.every((begun) => begun.includes(BEGUN.attempt)), ms, () => 'a peer has not heard of it')
})

After(async function (this: LargeFleetWorld) {
  this.silentPeer?.close()
  for (const { gossip } of this.largeFleet?.values() ?? []) await gossip.close().catch(() => undefined)
})
