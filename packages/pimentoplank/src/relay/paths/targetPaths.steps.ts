import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog, hash32, type Log } from '../../shared'
import type { PeerView, Report } from '../gossip'
import { createPeerUses, type PeerUses } from '../load'
import type { Target } from '../model'
import { createTargetPaths, type InstancePaths } from '.'

interface PathsWorld {
  pathsClock: ManualClock
  paths?: InstancePaths
  peerUses: PeerUses
  views: Map<string, PeerView>
  /** Addresses to which test connections succeed. */
  reachable: Set<string>
  /** Addresses that accept test connections and send nothing. */
  accepting: Set<string>
  probed: Set<string>
  /** True when peers that are asked connect to targets. */
  doPeersConnect: boolean
  messages: string[]
}

function listIds (first: string, last: string): string[] {
  const start = Number(first.slice(1))
  return Array.from({ length: Number(last.slice(1)) - start + 1 }, (_, index) => `t${start + index}`)
}

function getAddress (id: string): string {
  return `${id}:80`
}

function createRecordingLog (messages: string[]): Log {
  const log = createSilentLog()
  const record = (_fields: object, message: string): void => { messages.push(message) }
  return { info: log.info.bind(log), error: log.error.bind(log), warn: record } as unknown as Log
}

function update (world: PathsWorld, peer: string, change: Partial<Report>): void {
  const before = world.views.get(peer)?.report
  const report = { ...before!, ...change }
  world.views.set(peer, { report, lastReceivedAt: world.pathsClock.now() })
  world.peerUses.replaceReport(before, report)
}

Given('an instance of failure domain {string} with targets {string} to {string}', function (
  this: PathsWorld, failureDomain: string, first: string, last: string
) {
  this.pathsClock = createManualClock()
  this.views = new Map()
  this.reachable = new Set()
  this.accepting = new Set()
  this.probed = new Set()
  this.messages = []
  this.doPeersConnect = false
  this.peerUses = createPeerUses([], this.pathsClock)
  const targets = listIds(first, last).map((id): Target => (
    { id, service: 's', address: getAddress(id), failureDomain: 'a', version: 'v1', slots: 1, state: 'ready' }
  ))
  this.paths = createTargetPaths({
    askPeer: async () => this.doPeersConnect,
    failureDomain,
    listTargets: () => targets,
    peers: () => [...this.views.values()],
    peerUses: this.peerUses,
    probe: async (address) => {
      this.probed.add(address)
      // A test connection that hangs tells nothing for now.
      if (!this.reachable.has(address)) await this.pathsClock.sleep(250)
      return this.reachable.has(address) ? 'answered' : this.accepting.has(address) ? 'silent' : 'failed'
    },
    clock: this.pathsClock,
    random: () => 0.5,
    metrics: createInMemoryMetrics(),
    log: createRecordingLog(this.messages)
  })
})

Given('a peer {string} of failure domain {string}', function (this: PathsWorld, instance: string, failureDomain: string) {
  const report = createEmptyReport({ instance, failureDomain, peerAddress: `${instance}:81` })
  this.views.set(instance, { report, lastReceivedAt: 0 })
  this.peerUses.replaceReport(undefined, report)
})

Given('targets {string} to {string} answer peer {string}', function (
  this: PathsWorld, first: string, last: string, peer: string
) {
  update(this, peer, {
    uses: new Map(listIds(first, last).map((id) => [hash32(id), { live: 1, batch: 0, isAnswering: true }]))
  })
})

Given('no target answers a peer any more', async function (this: PathsWorld) {
  for (const peer of this.views.keys()) update(this, peer, { uses: new Map() })
  await this.pathsClock.advance(2000)
})

Given('peers that are asked connect to targets', function (this: PathsWorld) {
  this.doPeersConnect = true
})

Given('targets {string} to {string} can be reached', function (this: PathsWorld, first: string, last: string) {
  for (const id of listIds(first, last)) this.reachable.add(getAddress(id))
})

Given('connections to {string} to {string} are accepted but bring nothing', function (
  this: PathsWorld, first: string, last: string
) {
  for (const id of listIds(first, last)) this.accepting.add(getAddress(id))
})

When('connections to {string} to {string} fail', function (this: PathsWorld, first: string, last: string) {
  for (const id of listIds(first, last)) this.paths!.recordConnectFailed(getAddress(id))
})

When('targets {string} to {string} are silent', function (this: PathsWorld, first: string, last: string) {
  for (const id of listIds(first, last)) this.paths!.recordSilent(getAddress(id))
})

When('a connection to {string} is established', function (this: PathsWorld, id: string) {
  this.paths!.recordConnected(getAddress(id))
})

When('bytes of {string} arrive', function (this: PathsWorld, id: string) {
  this.paths!.recordBytes(getAddress(id))
})

When('{int} ms pass for the paths', async function (this: PathsWorld, ms: number) {
  await this.pathsClock.advance(ms)
})

When('peer {string} can\'t be reached', function (this: PathsWorld, peer: string) {
  this.paths!.recordPeerOutcome(peer, getAddress('t0'), 'peerFailed')
})

When('peer {string} doesn\'t reach {string}', function (this: PathsWorld, peer: string, id: string) {
  this.paths!.recordPeerOutcome(peer, getAddress(id), 'targetFailed')
})

When('peer {string} is cut off', function (this: PathsWorld, peer: string) {
  update(this, peer, { isCutOff: true })
})

When('peer {string} leaves', function (this: PathsWorld, peer: string) {
  update(this, peer, { stage: 'leaving' })
})

Then(/^the instance is (not )?cut off$/, function (this: PathsWorld, not: string | null) {
  assert.equal(this.paths!.isCutOff(), not === null)
})

Then('the path to {string} is direct', function (this: PathsWorld, id: string) {
  assert.deepEqual(this.paths!.choose(getAddress(id)), { type: 'direct' })
})

Then('the path to {string} is through {string}', function (this: PathsWorld, id: string, peer: string) {
  assert.deepEqual(this.paths!.choose(getAddress(id)), { type: 'peer', instance: peer, peerAddress: `${peer}:81` })
})

Then(/^idle connections to "(t\d)" are (not )?used$/, function (this: PathsWorld, id: string, not: string | null) {
  assert.equal(this.paths!.isDirectUsable(getAddress(id)), not === null)
})

Then('at most {int} targets were probed', function (this: PathsWorld, most: number) {
  assert.ok(this.probed.size <= most, `${this.probed.size} were probed`)
})

Then('the path was lost and came back, as the log says', function (this: PathsWorld) {
  assert.deepEqual(this.messages, ['path to targets lost', 'path to targets is back'])
})

After(function (this: PathsWorld) {
  this.paths?.close()
})
