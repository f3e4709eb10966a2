import assert from 'node:assert/strict'
import { create } from '@bufbuild/protobuf'
import { Given, Then, When } from '@cucumber/cucumber'
import {
  createFrameOutbox, HolderFrameSchema, SlotAcquireSchema, SlotHelloSchema, SlotReleaseSchema, type HomeFrame
} from '../../shared'
import {
  DEADLINE_MS, startRig,
  type SlotsWorld
} from '../../../features/support/slotsWorld'

/** Time after which a new owner grants the full limit, in milliseconds. */
const SETTLED_MS = 1000
/** Time that holders need to move to the next owner, in milliseconds. */
const HAND_OVER_MS = 50

Given('a slot rig of {int} owner(s) and {int} target(s) with {int} slots, first owner not yet listed', async function (
  this: SlotsWorld, owners: number, targets: number, slots: number
) {
  await startRig(this, { owners, targets, slots })
  const id = this.slotRig.getOwnerId(0)
  this.slotRig.changeMembership((records) => records.filter((record) => record.id !== id))
  await this.slotRig.clock.advance(SETTLED_MS)
})

When('the first owner joins the membership list', async function (this: SlotsWorld) {
  this.slotRig.changeMembership(() => this.slotRig.getAllRecords())
  await this.slotRig.settle()
})

Then('the first owner counts {int} slots in use', function (this: SlotsWorld, count: number) {
  const [stats] = this.slotRig.owners.get(this.slotRig.getOwnerId(0))!.part.stats()
  assert.equal(stats?.inUse, count)
})

When('a raw slot stream asks for a slot as ticket {int} and releases tickets {int}, {int} and {int}', async function (
  this: SlotsWorld, ticket: number, first: number, second: number, third: number
) {
  const released = [first, second, third]
  const outbox = createFrameOutbox(() => create(HolderFrameSchema))
  const [owner] = this.slotRig.owners.values()
  const answers = owner!.part.open(outbox.frames(), new AbortController().signal)[Symbol.asyncIterator]()
  outbox.add((frame) => {
    frame.hello = create(SlotHelloSchema, { holder: 'bare' })
    frame.acquires.push(create(SlotAcquireSchema, { ticket, target: 'target-0', deadlineMs: DEADLINE_MS }))
  })
  const { value } = await answers.next()
  assert.deepEqual((value as HomeFrame).granted, [ticket])
  outbox.add((frame) => frame.releases.push(...released.map((number) => create(SlotReleaseSchema, { ticket: number }))))
  await this.slotRig.settle()
})

Then('the owner has counted {int} late releases', function (this: SlotsWorld, count: number) {
  const [owner] = this.slotRig.owners.values()
  assert.equal(owner!.metrics.snapshot().counters['slots.releases.late'], count)
})

When('the owner of the target is killed', async function (this: SlotsWorld) {
  await this.slotRig.kill(this.slotRig.getOwnerId(0))
})

When('every owner is killed', async function (this: SlotsWorld) {
  for (const id of this.slotRig.owners.keys()) await this.slotRig.kill(id)
})

When('the owner of the target goes silent', async function (this: SlotsWorld) {
  await this.slotRig.silence(this.slotRig.getOwnerId(0))
})

When('the owner of the target leaves the membership list', async function (this: SlotsWorld) {
  const id = this.slotRig.getOwnerId(0)
  this.slotRig.changeMembership((records) => records.filter((record) => record.id !== id))
  await this.slotRig.settle()
})

When('slot holder {string} no longer sees the owner of the target', async function (this: SlotsWorld, holder: string) {
  if (!this.slotRig.holders.has(holder)) this.slotRig.addHolder(holder)
  const id = this.slotRig.getOwnerId(0)
  this.slotRig.changeMembership((records) => records.filter((record) => record.id !== id), [holder])
  await this.slotRig.settle()
})

When('the owner of the target hands over', async function (this: SlotsWorld) {
  const handedOver = this.slotRig.owners.get(this.slotRig.getOwnerId(0))!.part.handOver()
  await this.slotRig.clock.advance(HAND_OVER_MS)
  await handedOver
})

When('slot holder {string} is killed', async function (this: SlotsWorld, holder: string) {
  await this.slotRig.kill(holder)
})

When('the connections of slot holder {string} go silent', async function (this: SlotsWorld, holder: string) {
  await this.slotRig.silence(holder)
})

When('the connections of slot holder {string} are slow', function (this: SlotsWorld, holder: string) {
  this.slotRig.holders.get(holder)!.gate.slow = true
})

When('the connections of slot holder {string} break', async function (this: SlotsWorld, holder: string) {
  await this.slotRig.cut(holder)
})

When('target {int} leaves the membership list', async function (this: SlotsWorld, index: number) {
  this.slotRig.changeMembership((records) => records.filter((record) => record.id !== `target-${index}`))
  await this.slotRig.settle()
})

When('only the owners see that target {int} leaves', async function (this: SlotsWorld, index: number) {
  const owners = [...this.slotRig.owners.keys()]
  this.slotRig.changeMembership((records) => records.map((record) =>
    record.id === `target-${index}` ? { ...record, state: 'leaving' } : record), owners)
  await this.slotRig.settle()
})

When('slot holder {string} learns from an answer that target {int} leaves', async function (
  this: SlotsWorld, holder: string, index: number
) {
  this.slotRig.addHolder(holder).membership.markLeaving(`target-${index}`, 'ownAnswer')
  await this.slotRig.settle()
})

Then('slot holder {string} has counted retries for a lost owner', function (this: SlotsWorld, holder: string) {
  const { counters } = this.slotRig.holders.get(holder)!.metrics.snapshot()
  assert.ok(counters['retries.homeLost']! > 0)
})
