import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEmptyReport } from '../../../features/support/emptyReport'
import type { ProcessView } from '../decisions'
import type { PeerView } from '../gossip'
import type { Target } from '../model'
import { createProcessViews } from './processViews'
import type { StateAnswer } from './stateCall'

interface ViewsWorld {
  viewedIds: string[]
  viewPeers: PeerView[]
  /** Answers to direct calls and to calls through peers, by address, where they are not those of a process. */
  direct: Map<string, StateAnswer>
  throughPeers: Map<string, StateAnswer>
  calls: number
  seen: ProcessView[]
}

const START = 100

function listIds (first: string, last: string): string[] {
  const start = Number(first.slice(1))
  return Array.from({ length: Number(last.slice(1)) - start + 1 }, (_, index) => `t${start + index}`)
}

Given('targets {string} to {string}, each called directly and through peers {string} and {string}', function (
  this: ViewsWorld, first: string, last: string, firstPeer: string, secondPeer: string
) {
  this.viewedIds = listIds(first, last)
  this.viewPeers = [firstPeer, secondPeer].map((instance) => (
    { report: createEmptyReport({ instance, failureDomain: 'b', peerAddress: instance }), lastReceivedAt: 0 }
  ))
  this.direct = new Map()
  this.throughPeers = new Map()
  this.calls = 0
})

Given(/^calls of this instance to "(t\d)"(?: to "(t\d)")? are (reset|refused)$/, function (
  this: ViewsWorld, first: string, last: string | undefined, how: string
) {
  const type = how === 'refused' ? 'nothing' : 'unclear'
  for (const id of listIds(first, last ?? first)) this.direct.set(id, { type })
})

Given('nothing listens at {string}', function (this: ViewsWorld, id: string) {
  this.direct.set(id, { type: 'nothing' })
  this.throughPeers.set(id, { type: 'nothing' })
})

Given('peers can\'t be reached', function (this: ViewsWorld) {
  for (const id of this.viewedIds) this.throughPeers.set(id, { type: 'unclear' })
})

Given('calls through peers are refused by each target', function (this: ViewsWorld) {
  for (const id of this.viewedIds) this.throughPeers.set(id, { type: 'nothing' })
})

Given('the peers are cut off', function (this: ViewsWorld) {
  this.viewPeers = this.viewPeers.map((peer) => ({ ...peer, report: { ...peer.report, isCutOff: true } }))
})

When('the process of {string} is viewed', async function (this: ViewsWorld, id: string) {
  const viewProcess = createProcessViews({
    callState: async (address, via) => {
      this.calls += 1
      return (via === undefined ? this.direct : this.throughPeers).get(address) ?? { type: 'process', startedAt: START }
    },
    failureDomain: 'a',
    listTargets: () => this.viewedIds.map((one): Target => (
      { id: one, service: 's', address: one, failureDomain: 'a', version: 'v1', slots: 1, state: 'ready' }
    )),
    peers: () => this.viewPeers,
    random: Math.random
  })
  this.seen = await viewProcess(id)
})

Then('a process is seen', function (this: ViewsWorld) {
  assert.ok(this.seen.some((view) => view.type === 'process' && view.startedAt === START))
})

Then(/^nothing is seen, over (a|no) path that works$/, function (this: ViewsWorld, whether: string) {
  const nothing = this.seen.filter((view) => view.type === 'nothing')
  assert.ok(nothing.length > 0 && this.seen.every(({ type }) => type !== 'process'))
  assert.equal(nothing.some(({ isPathSound }) => isPathSound), whether === 'a')
})

Then('{int} call(s) was/were made', function (this: ViewsWorld, count: number) {
  assert.ok(this.calls >= 1)
  assert.equal(this.calls, count)
})
