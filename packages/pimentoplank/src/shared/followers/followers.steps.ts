import assert from 'node:assert/strict'
import { createPlatformStandin, type PlatformStandin } from '@pimentoplank/standins'
import { After, Given, Then, When, type IWorld } from '@cucumber/cucumber'
import fc from 'fast-check'
import { startFollowerCluster, type ClusterMember, type FollowerCluster } from '../../../features/support/followerCluster'
import { waitUntil } from '../../../features/support/waitUntil'
import {
  createInMemoryMetrics, createReleaseLog, createSilentLog, createSystemClock, isWatcher, OBJECT_KINDS, releaseNote,
  type InstanceRecord
} from '../../shared'

interface FollowersWorld extends Pick<IWorld, 'log'> {
  cluster: FollowerCluster
  connected: ClusterMember[]
  cutOff?: ClusterMember
  started?: ClusterMember
  replica?: PlatformStandin
  replicaAddress?: string
  announcer?: ClusterMember
}

const WATCHERS_PER_DOMAIN = 2

function all (world: FollowersWorld): ClusterMember[] {
  return [...world.cluster.members.values()]
}

function getSequence (member: ClusterMember): number {
  return member.followers.config.current().sequence
}

function listWatchers (world: FollowersWorld): ClusterMember[] {
  return all(world).filter((member) => {
    const peers = member.followers.membership.peers()
    const self = peers.find((peer) => peer.id === member.id)
    return self !== undefined && isWatcher({ self, peers, watchersPerDomain: WATCHERS_PER_DOMAIN })
  })
}

async function apply (world: FollowersWorld, sequence: number): Promise<void> {
  const log = createReleaseLog({
    platform: world.cluster.client, clock: createSystemClock(), metrics: createInMemoryMetrics(), log: createSilentLog()
  })
  const note = releaseNote.parse({
    base: sequence - 1, added: [{ kind: 'service', name: `service-${sequence}`, type: 'plain' }]
  })
  const applied = await log.apply(note)
  assert.equal(applied._unsafeUnwrap(), sequence)
}

async function waitForSequence (members: readonly ClusterMember[], sequence: number, seconds: number): Promise<void> {
  await waitUntil(() => members.every((member) => getSequence(member) === sequence), {
    limitMs: seconds * 1000,
    describe: () => members.map((member) => `${member.id}: ${getSequence(member)}`).join(', ')
  })
}

async function waitForMutualKnowledge (world: FollowersWorld): Promise<void> {
  const count = all(world).length
  await waitUntil(() => all(world).every((member) => member.followers.membership.peers().length === count), {
    limitMs: 10_000, describe: () => all(world).map((member) => member.followers.membership.peers().length).join(', ')
  })
}

Given('a platform that instances follow', async function (this: FollowersWorld) {
  this.cluster = await startFollowerCluster()
})

Given('a platform that instances follow with the product\'s timings', async function (this: FollowersWorld) {
  this.cluster = await startFollowerCluster({ productTimings: true })
})

Given('{int} follower instances in {int} failure domains at configuration {int}',
  { timeout: 30_000 },
  async function (this: FollowersWorld, count: number, domains: number, sequence: number) {
    for (let made = 1; made <= sequence; made++) await apply(this, made)
    const indexes = Array.from({ length: count }, (_, index) => index)
    await Promise.all(indexes.map(async (index) => await this.cluster.start(`entry-${index}`, `domain-${index % domains}`)))
    await waitForMutualKnowledge(this)
    await waitForSequence(all(this), sequence, 10)
  })

When('an operator\'s change number {int} is accepted', async function (this: FollowersWorld, sequence: number) {
  await apply(this, sequence)
})

Then('every follower instance has configuration {int} within {int} s', { timeout: 10_000 },
  async function (this: FollowersWorld, sequence: number, seconds: number) {
    await waitForSequence(all(this), sequence, seconds)
  })

Then('the connected follower instances have configuration {int} within {int} s', { timeout: 10_000 },
  async function (this: FollowersWorld, sequence: number, seconds: number) {
    await waitForSequence(this.connected, sequence, seconds)
  })

Then('at most {int} of the follower instances watch the platform', { timeout: 10_000 },
  async function (this: FollowersWorld, most: number) {
    const kinds = 4
    await waitUntil(() => this.cluster.platform.getStats().watches <= most * kinds, {
      limitMs: 8000, describe: () => `got ${this.cluster.platform.getStats().watches} watches`
    })
    assert.equal(listWatchers(this).length, most)
  })

Then('a change costs at most {int} platform calls for {int} follower instances', { timeout: 20_000 },
  async function (this: FollowersWorld, most: number, count: number) {
    assert.equal(all(this).length, count)
    this.cluster.platform.resetStats()
    await apply(this, 2)
    await waitForSequence(all(this), 2, 6)
    const { calls } = this.cluster.platform.getStats()
    const total = Object.values(calls).flatMap((kind) => Object.values(kind)).reduce((sum, n) => sum + n, 0)
    assert.ok(total <= most, `got ${total} calls: ${JSON.stringify(calls)}`)
  })

When('a follower instance that watches the platform is started on a platform replica with configuration 1',
  async function (this: FollowersWorld) {
    this.replica = createPlatformStandin()
    this.replicaAddress = (await this.replica.start()).address
    const [first] = this.cluster.platform.readAll(OBJECT_KINDS.releaseNote)
    this.replica.putObject(OBJECT_KINDS.releaseNote, first!.name, first!.value)
    await startOnReplica(this, findWatcherId(this), this.replicaAddress)
  })

When('one of the others is restarted on that replica', async function (this: FollowersWorld) {
  const other = all(this)[0]!
  await other.stop()
  await startOnReplica(this, other.id, this.replicaAddress!)
})

Then('no follower instance ever had configuration 1 after configuration 2 was in force', function (this: FollowersWorld) {
  for (const { id, sequences } of all(this)) assert.deepEqual(sequences, [2], `${id}: ${sequences.join(', ')}`)
})

/** Finds an id that makes an instance a watcher of the first failure domain. */
function findWatcherId (world: FollowersWorld): string {
  const peers = all(world)[0]!.followers.membership.peers()
  for (let index = 0; ; index++) {
    const self = { id: `entry-holder-${index}`, failureDomain: 'domain-0' }
    if (isWatcher({ self, peers, watchersPerDomain: WATCHERS_PER_DOMAIN })) return self.id
  }
}

async function startOnReplica (world: FollowersWorld, id: string, platformAddress: string): Promise<void> {
  const seeds = all(world).slice(0, 2).map((member) => member.peerLink.address)
  world.started = await world.cluster.start(id, 'domain-0', { seeds, platformAddress })
  await world.started.followers.ready()
}

When('a follower instance is started beside the others', async function (this: FollowersWorld) {
  const seeds = all(this).slice(0, 2).map((member) => member.peerLink.address)
  this.started = await this.cluster.start('entry-new', 'domain-0', { seeds })
})

Then('the started follower instance knows the other instances', async function (this: FollowersWorld) {
  await waitUntil(() => this.started!.followers.membership.peers().length >= all(this).length - 1)
})

When('the platform of the followers goes down', function (this: FollowersWorld) {
  this.cluster.platform.setFaults({ down: true })
})

When('every follower instance has noticed the outage', { timeout: 10_000 }, async function (this: FollowersWorld) {
  await waitUntil(() => all(this).every((member) => member.followers.feed.ageMs() > 2000), { limitMs: 8000 })
})

When('the platform of the followers comes back', function (this: FollowersWorld) {
  this.cluster.platform.setFaults({ down: false })
})

Then('no follower instance ever reverted its configuration', function (this: FollowersWorld) {
  for (const { id, sequences } of all(this)) {
    const sorted = [...sequences].sort((a, b) => a - b)
    assert.deepEqual(sequences, sorted, `${id}: ${sequences.join(', ')}`)
  }
})

When('one follower instance is cut off from the platform and its peers', function (this: FollowersWorld) {
  // A watcher is the worst case: it loses its watches as well as its peers.
  this.cutOff = listWatchers(this)[0]!
  this.connected = all(this).filter((member) => member !== this.cutOff)
  this.cutOff.platformLink.setMode('cut')
  this.cutOff.peerLink.setMode('cut')
  this.cutOff.isolate(true)
})

When('the follower instance that was cut off is connected again', function (this: FollowersWorld) {
  this.cutOff!.platformLink.setMode('open')
  this.cutOff!.peerLink.setMode('open')
  this.cutOff!.isolate(false)
})

When('all follower instances that watch the platform are killed', async function (this: FollowersWorld) {
  await Promise.all(listWatchers(this).map(async (member) => await member.stop()))
})

When('the connections of all follower instances that watch the platform stop responding', function (this: FollowersWorld) {
  const silent = listWatchers(this)
  this.connected = all(this).filter((member) => !silent.includes(member))
  for (const member of silent) {
    member.platformLink.setMode('silent')
    member.peerLink.setMode('silent')
  }
})

Given('a target {string} in the list of all follower instances', { timeout: 10_000 },
  async function (this: FollowersWorld, id: string) {
    const record: InstanceRecord = {
      id, role: 'engine', service: 'desk-lm', address: '127.0.0.1:9', failureDomain: 'domain-0', region: 'r', state: 'live'
    }
    this.cluster.platform.putInstance(record)
    await waitUntil(() => all(this).every(({ followers }) => followers.membership.targets('desk-lm').length === 1), {
      limitMs: 8000
    })
  })

Given('the instance list of the platform is no longer updated', function (this: FollowersWorld) {
  this.cluster.platform.setFaults({ staleInstances: true })
})

When('one follower instance sees that target {string} is leaving', function (this: FollowersWorld, id: string) {
  const observer = all(this).find((member) => !listWatchers(this).includes(member))!
  observer.followers.membership.markLeaving(id, 'ownAnswer')
})

Then('every follower instance considers target {string} leaving within {int} s', { timeout: 10_000 },
  async function (this: FollowersWorld, id: string, seconds: number) {
    const isExcluded = (member: ClusterMember): boolean =>
      member.followers.membership.targets('desk-lm').every((target) => target.id !== id)
    await waitUntil(() => all(this).every(isExcluded), { limitMs: seconds * 1000 })
  })

When('a follower instance announces that it is leaving', function (this: FollowersWorld) {
  this.announcer = all(this)[0]!
  this.announcer.followers.membership.announceLeaving()
})

function knows (member: ClusterMember, id: string): boolean {
  return member.followers.membership.instances().some((instance) => instance.id === id)
}

Then('every other follower instance removes it within {int} s', { timeout: 10_000 },
  async function (this: FollowersWorld, seconds: number) {
    const others = all(this).filter((member) => member !== this.announcer)
    await waitUntil(() => others.every((member) => !knows(member, this.announcer!.id)), { limitMs: seconds * 1000 })
  })

When('that follower instance is restarted at the same address', async function (this: FollowersWorld) {
  await this.announcer!.stop()
  await this.cluster.start(this.announcer!.id, 'domain-0')
})

Then('every other follower instance lists it again within {int} s', { timeout: 10_000 },
  async function (this: FollowersWorld, seconds: number) {
    await waitUntil(() => all(this).every((member) => knows(member, this.announcer!.id)), { limitMs: seconds * 1000 })
  })

/** Faults of an instance or the platform; each lasts until all faults end. */
const FAULTS: Record<string, (world: FollowersWorld, member: ClusterMember) => unknown> = {
  change: async (world) => await apply(world, world.cluster.platform.readAll(OBJECT_KINDS.releaseNote).length + 1),
  platformCut: (_, member) => member.platformLink.setMode('cut'),
  platformSilent: (_, member) => member.platformLink.setMode('silent'),
  peersCut: (_, member) => member.peerLink.setMode('cut'),
  peersSilent: (_, member) => member.peerLink.setMode('oldSilent'),
  isolated: (_, member) => member.isolate(true),
  staleList: (world) => world.cluster.platform.setFaults({ staleInstances: true }),
  compaction: (world) => world.cluster.platform.compact(),
  restart: async (world, member) => {
    const { id } = member
    const seeds = all(world).filter((other) => other !== member).map((other) => other.peerLink.address)
    await member.stop()
    await world.cluster.start(id, `domain-${Number(id.split('-')[1]) % 2}`, { seeds })
  }
}

When('a random sequence of {int} faults and changes from seed {int} is applied to the follower instances',
  { timeout: 30_000 },
  async function (this: FollowersWorld, length: number, seed: number) {
    const fault = fc.constantFrom(...Object.keys(FAULTS), 'change', 'change')
    const step = fc.record({ fault, index: fc.nat({ max: all(this).length - 1 }) })
    const [steps = []] = fc.sample(fc.array(step, { minLength: length, maxLength: length }), { seed, numRuns: 1 })
    this.log(steps.map((taken) => `${taken.fault} ${taken.index}`).join(', '))
    for (const taken of steps) await FAULTS[taken.fault]!(this, all(this)[taken.index]!)
    await apply(this, this.cluster.platform.readAll(OBJECT_KINDS.releaseNote).length + 1)
  })

When('all faults of the follower instances end', function (this: FollowersWorld) {
  this.cluster.platform.setFaults({ staleInstances: false })
  for (const member of all(this)) {
    member.platformLink.setMode('open')
    member.peerLink.setMode('open')
    member.isolate(false)
  }
})

Then('every follower instance has the newest configuration within {int} s', { timeout: 15_000 },
  async function (this: FollowersWorld, seconds: number) {
    await waitForSequence(all(this), this.cluster.platform.readAll(OBJECT_KINDS.releaseNote).length, seconds)
  })

After({ timeout: 20_000 }, async function (this: FollowersWorld) {
  await this.cluster?.close()
  await this.replica?.close()
})
