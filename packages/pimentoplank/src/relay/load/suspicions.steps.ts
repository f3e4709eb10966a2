import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog, hash32 } from '../../shared'
import type { Report } from '../gossip'
import type { Target } from '../model'
import { createTargetPaths, type InstancePaths, type ProbeOutcome } from '../paths'
import { RELAY_RULES } from '../rules'
import { createLoadView, createPeerUses, type FaultKind, type LoadView, type PeerUses } from '.'

interface SuspicionsWorld {
  suspicionsClock: ManualClock
  /** What test connections to the target bring. */
  directOutcome: ProbeOutcome
  /** True if the target answers peers that are asked. */
  doesPeerReach: boolean
  reports: Map<string, Report>
  peerUses: PeerUses
  loads: LoadView
  observed: InstancePaths
  isCutOff: boolean
  losePath: () => void
}

const TARGET: Target = {
  id: 't0', service: 's', address: 't0:80', failureDomain: 'a', version: 'v1', slots: 4, state: 'ready'
}
const KEY = hash32(TARGET.id)
const FAULTS: Record<string, { reason: string, kind: FaultKind }> = {
  'can\'t be connected to': { reason: 'connectFailed', kind: 'connect' },
  'is silent': { reason: 'silent', kind: 'silence' },
  'breaks a connection': { reason: 'broken', kind: 'cut' },
  'fails a request': { reason: 'serverError', kind: 'target' }
}

function update (world: SuspicionsWorld, peer: string, change: Partial<Report>): void {
  const before = world.reports.get(peer)!
  const report = { ...before, ...change }
  world.reports.set(peer, report)
  world.peerUses.replaceReport(before, report)
}

Given('an instance that hears peers {string} and {string}, and a target {string}', function (
  this: SuspicionsWorld, first: string, second: string, id: string
) {
  assert.equal(id, TARGET.id)
  const clock = createManualClock()
  const metrics = createInMemoryMetrics()
  const log = createSilentLog()
  const lostListeners: Array<(since: number) => void> = []
  this.suspicionsClock = clock
  this.reports = new Map([first, second].map((peer) => [
    peer, createEmptyReport({ instance: peer, failureDomain: 'a', peerAddress: `${peer}:81` })
  ]))
  this.peerUses = createPeerUses([], clock)
  for (const report of this.reports.values()) this.peerUses.replaceReport(undefined, report)
  this.observed = createTargetPaths({
    askPeer: async () => this.doesPeerReach,
    failureDomain: 'a',
    // One target that is not reached is no cut where there are others.
    listTargets: () => [TARGET, { ...TARGET, id: 't1', address: 't1:80' }],
    peers: () => [...this.reports.values()].map((report) => ({ report, lastReceivedAt: clock.now() })),
    peerUses: this.peerUses,
    probe: async (address) => address === TARGET.address ? this.directOutcome : 'answered',
    clock,
    random: () => 0.5,
    metrics,
    log
  })
  this.directOutcome = 'failed'
  this.doesPeerReach = false
  this.isCutOff = false
  this.losePath = () => {
    this.isCutOff = true
    lostListeners.forEach((listener) => listener(clock.now()))
  }
  this.loads = createLoadView({
    targets: {
      all: () => [TARGET], get: () => TARGET, getUsable: () => [TARGET], getLeaving: () => []
    } as unknown as Parameters<typeof createLoadView>[0]['targets'],
    peerUses: this.peerUses,
    peers: () => [],
    isClose: () => true,
    isPreferred: () => false,
    limits: { getAllowance: () => Infinity, getLimit: () => undefined, take: () => undefined },
    paths: {
      ...this.observed,
      isCutOff: () => this.isCutOff,
      onLost: (listener) => {
        lostListeners.push(listener)
        return () => undefined
      }
    },
    rules: RELAY_RULES.suspicion,
    clock,
    metrics,
    log
  })
})

When('bytes of the target arrive here', function (this: SuspicionsWorld) {
  this.observed.recordBytes(TARGET.address)
})

When('{int} ms pass for the suspicions', async function (this: SuspicionsWorld, ms: number) {
  await this.suspicionsClock.advance(ms)
})

When(/^the target answers peer "(\w+)"( no more)?$/, function (this: SuspicionsWorld, peer: string, noMore: string | null) {
  update(this, peer, { uses: new Map([[KEY, { live: 1, batch: 0, isAnswering: noMore === null }]]) })
})

When('peer {string} reports that it doesn\'t reach the target', function (this: SuspicionsWorld, peer: string) {
  update(this, peer, { suspects: new Set([KEY]), unreached: new Set([KEY]) })
})

When('peer {string} reports that the target fails', function (this: SuspicionsWorld, peer: string) {
  update(this, peer, { suspects: new Set([KEY]), unreached: new Set() })
})

When('peer {string} reports suspicions like an older version', function (this: SuspicionsWorld, peer: string) {
  update(this, peer, { suspects: new Set([KEY]) })
})

When(/^peer "(\w+)" reports that it is (no longer )?cut off$/, function (
  this: SuspicionsWorld, peer: string, noLonger: string | null
) {
  update(this, peer, { isCutOff: noLonger === null, suspects: new Set() })
})

When(/^it (can't be connected to|is silent|breaks a connection|fails a request) here$/, function (
  this: SuspicionsWorld, fault: string
) {
  const { reason, kind } = FAULTS[fault]!
  this.loads.recordFailure(TARGET.id, reason, kind)
})

Given(/^test connections of this instance are (answered|failed|silent)$/, function (
  this: SuspicionsWorld, outcome: ProbeOutcome
) {
  this.directOutcome = outcome
})

Given(/^peers reach the target (as well|no more)$/, function (this: SuspicionsWorld, which: string) {
  this.doesPeerReach = which === 'as well'
})

When('the path to targets is lost', function (this: SuspicionsWorld) {
  this.losePath()
})

When('the path to targets is back', function (this: SuspicionsWorld) {
  this.isCutOff = false
})

Then(/^the target is (trusted|suspected)$/, function (this: SuspicionsWorld, expected: string) {
  assert.equal(this.loads.getLoad(TARGET.id)!.isSuspect, expected === 'suspected')
})

Then('it is reported as suspect and as not reached', function (this: SuspicionsWorld) {
  const { all, unreached } = this.loads.getOwnSuspects()
  assert.deepEqual([[...all], [...unreached]], [[KEY], [KEY]])
})

Then(/^it is (not )?reported as suspect$/, function (this: SuspicionsWorld, not: string | null) {
  assert.deepEqual([...this.loads.getOwnSuspects().all], not === null ? [KEY] : [])
})
