import assert from 'node:assert/strict'
import { setTimeout as pause } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createMetrics, createSilentLog, createSystemClock, hash32 } from '../../shared'
import { createPeerUses, type PeerUses } from '../load'
import { startGossip, type Gossip, type TargetUse } from '.'

interface Member {
  gossip: Gossip
  peerUses: PeerUses
  near: Map<number, TargetUse>
  far: Map<number, TargetUse>
  gone: string[]
  address: string
}

interface LargeFleetWorld {
  largeFleet?: Map<string, Member>
}

const STEP_TIMEOUT_MS = 15_000
const PACE = { minGapMs: 5, heartbeatMs: 100, silentAfterMs: 400 }
const SETTINGS = { maxClosePeers: 1, pace: PACE, paceOfLargeFleet: PACE, farFactor: 4, digestMs: 50 }
/** The target in failure domain "a". */
const NEAR_TARGET = hash32('ta')
let nextPort = 21_000 + process.pid % 20_000

/** Starts a member; another port is tried where one is taken. */
async function startMember (id: string, seeds: readonly string[]): Promise<Member> {
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
    settings: SETTINGS,
    own: () => ({
      stage: 'serving', callerAddress: address, jobs: [], crashes: [], configRevision: 1, openJobs: new Map()
    }),
    ownLoad: () => ({ uses: new Map([...near, ...far]), waiting: [], suspects: new Set() }),
    farUses: () => ({ own: far, domain: domainUses() }),
    onYield: () => undefined,
    clock: createSystemClock(),
    random: Math.random,
    metrics: createMetrics(),
    log: createSilentLog()
  })
  if (started.isErr()) return await startMember(id, seeds)
  const gossip = started.value
  const peerUses = createPeerUses([])
  const gone: string[] = []

  function domainUses (): Map<number, TargetUse> {
    // An instance elsewhere has no use to tell of for a target in failure domain "a".
    if (!id.startsWith('a')) return new Map()
    const live = (near.get(NEAR_TARGET)?.live ?? 0) + peerUses.usesOf(NEAR_TARGET).live
    return new Map([[NEAR_TARGET, { live, batch: 0 }]])
  }

  gossip.onReport((report, before) => peerUses.replace(before, report))
  gossip.onDigest(peerUses.replaceDigest)
  gossip.onGone(({ report }) => {
    gone.push(report.instance)
    peerUses.replace(report, undefined)
    const domains = new Set(gossip.peers().map((peer) => peer.report.failureDomain))
    peerUses.keepDigests((failureDomain) => domains.has(failureDomain))
  })
  gossip.start()
  return { gossip, peerUses, near, far, gone, address }
}

function member (world: LargeFleetWorld, id: string): Member {
  return world.largeFleet!.get(id)!
}

function seen (world: LargeFleetWorld, id: string, target: string): number {
  return member(world, id).peerUses.usesOf(hash32(target)).live
}

async function until (holds: () => boolean, ms: number, what: () => string): Promise<void> {
  const end = Date.now() + ms
  while (!holds()) {
    assert.ok(Date.now() < end, what())
    await pause(5)
  }
}

Given('instances {string} and {string} of failure domain "a", and {string} of "b", which are more than are told of each change', async function (
  this: LargeFleetWorld, first: string, second: string, third: string
) {
  const members = new Map<string, Member>()
  this.largeFleet = members
  for (const id of [first, second, third]) {
    members.set(id, await startMember(id, [...members.values()].map(({ address }) => address)))
  }
  const all = [...members.values()]
  await until(() => all.every(({ gossip }) => gossip.peers().length === 2), 5000, () => 'not all hear each other')
})

When('{string} has {int} live request(s) at the target {string} of {word} failure domain', function (
  this: LargeFleetWorld, id: string, live: number, target: string, whose: string
) {
  const { near, far, gossip } = member(this, id)
  const uses = whose === 'its' ? near : far
  uses.set(hash32(target), { live, batch: 0 })
  gossip.touch()
})

When('{string} and {string} are lost', async function (this: LargeFleetWorld, first: string, second: string) {
  await member(this, first).gossip.close()
  await member(this, second).gossip.close()
})

Then('{string} sees {int} live request(s) at {string} within {int} ms', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LargeFleetWorld, id: string, live: number, target: string, ms: number
) {
  await until(() => seen(this, id, target) === live, ms, () => `${seen(this, id, target)} are seen`)
})

Then('for {int} ms {string} never sees more than {int} live requests at {string}', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LargeFleetWorld, ms: number, id: string, most: number, target: string
) {
  for (const end = Date.now() + ms; Date.now() < end; await pause(5)) assert.ok(seen(this, id, target) <= most)
})

Then('for {int} ms nobody counts as gone', { timeout: STEP_TIMEOUT_MS }, async function (this: LargeFleetWorld, ms: number) {
  await pause(ms)
  for (const [id, { gone }] of this.largeFleet!) assert.deepEqual(gone, [], id)
})

After(async function (this: LargeFleetWorld) {
  for (const { gossip } of this.largeFleet?.values() ?? []) await gossip.close().catch(() => undefined)
})
