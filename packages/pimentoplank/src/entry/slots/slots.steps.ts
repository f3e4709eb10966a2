import assert from 'node:assert/strict'
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber'
import { slotSchedulerSettings, type SlotReport, type WorkClass } from '../../shared'
import {
  requestSlot, findCalls, requestSlots, getStats, isHeld, isOn, isWaiting, release, releaseSome, runLive, startRig,
  type SlotsWorld
} from '../../../features/support/slotsWorld'

Given('a slot rig of {int} owner(s) and {int} target(s) with {int} slot(s)', async function (
  this: SlotsWorld, owners: number, targets: number, slots: number
) {
  await startRig(this, { owners, targets, slots })
})

Given('a slot rig of {int} owner(s) and {int} target(s) with {int} slot(s) and scheduler settings', async function (
  this: SlotsWorld, owners: number, targets: number, slots: number, table: DataTable
) {
  const given = Object.entries(table.rowsHash()).map(([name, value]) => [name, Number(value)])
  await startRig(this, {
    owners, targets, slots, settings: slotSchedulerSettings.parse(Object.fromEntries(given))
  })
})

When('slot holder {string} asks for {int} {word} slot(s)', async function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  await requestSlots(this, holder, count, { workClass })
})

When('slot holder {string} asks for {int} {word} slot(s) with {int} ms left', async function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass, deadlineMs: number
) {
  await requestSlots(this, holder, count, { workClass, deadlineMs })
})

When('slot holder {string} asks for {int} live slot(s) as account {string}', async function (
  this: SlotsWorld, holder: string, count: number, account: string
) {
  await requestSlots(this, holder, count, { workClass: 'live', account })
})

When('slot holder {string} asks for {int} live slot(s) as account {string} with {int} ms left', async function (
  this: SlotsWorld, holder: string, count: number, account: string, deadlineMs: number
) {
  await requestSlots(this, holder, count, { workClass: 'live', account, deadlineMs })
})

When('slot holder {string} asks for {int} live slot(s) as account {string} with weight {int}', async function (
  this: SlotsWorld, holder: string, count: number, account: string, weight: number
) {
  await requestSlots(this, holder, count, { workClass: 'live', account, weight })
})

When('slot holder {string} asks for {int} live slot(s) preferring target {int}', async function (
  this: SlotsWorld, holder: string, count: number, index: number
) {
  await requestSlots(this, holder, count, { workClass: 'live', preferred: `target-${index}` })
})

When('slot holder {string} asks for {int} live slot(s) preferring target {int} and no other', async function (
  this: SlotsWorld, holder: string, count: number, index: number
) {
  const others = [...this.slotRig.getTargetIds()].filter((id) => id !== `target-${index}`)
  await requestSlots(this, holder, count, { workClass: 'live', excluded: others })
})

When('slot holder {string} asks for {int} live slot(s) with {int} ms left for a begun stream', async function (
  this: SlotsWorld, holder: string, count: number, deadlineMs: number
) {
  await requestSlots(this, holder, count, { workClass: 'live', deadlineMs, begun: true })
})

When('slot holder {string} asks for {int} live slot(s) and cancels', async function (
  this: SlotsWorld, holder: string, count: number
) {
  const cancellation = new AbortController()
  for (let index = 0; index < count; index += 1) requestSlot(this, holder, { workClass: 'live' }, cancellation.signal)
  await this.slotRig.settle()
  cancellation.abort()
  await this.slotRig.settle()
})

When('slot holder {string} releases {int} {word} slot(s)', async function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  await releaseSome(this, holder, workClass, count)
})

When('slot holder {string} releases {int} live slot(s) {int} times', async function (
  this: SlotsWorld, holder: string, count: number, times: number
) {
  for (let index = 0; index < times; index += 1) await releaseSome(this, holder, 'live', count)
})

When('slot holder {string} releases 1 live slot {int} times over', async function (
  this: SlotsWorld, holder: string, times: number
) {
  const [held] = findCalls(this, holder, 'live').filter(isHeld)
  for (let index = 0; index < times; index += 1) await release(this, [held!])
})

When('slot holder {string} releases its live slot on target {int}', async function (
  this: SlotsWorld, holder: string, index: number
) {
  await release(this, findCalls(this, holder, 'live').filter(isOn(index)))
})

When('the earliest requested live slot that is held is released, {int} times', async function (
  this: SlotsWorld, times: number
) {
  for (let index = 0; index < times; index += 1) await release(this, this.calls.filter(isHeld).slice(0, 1))
})

When('live work of {int} ms has been measured by slot holder {string} {int} times', async function (
  this: SlotsWorld, runMs: number, holder: string, times: number
) {
  await runLive(this, holder, times, { result: 'done' }, runMs)
})

When('live work with a first token after {int} ms has been reported by slot holder {string} {int} times',
  async function (this: SlotsWorld, firstTokenMs: number, holder: string, times: number) {
    await runLive(this, holder, times, { result: 'done', firstTokenMs })
  })

When('{int} live slots are kept busy by slot holder {string} with a first token after {int} ms, {int} times',
  async function (this: SlotsWorld, busy: number, holder: string, firstTokenMs: number, times: number) {
    await requestSlots(this, holder, busy, { workClass: 'live' })
    for (let index = 0; index < times; index += 1) {
      await releaseSome(this, holder, 'live', 1, { result: 'done', firstTokenMs })
      await requestSlots(this, holder, 1, { workClass: 'live' })
    }
  })

When('work on target {int} fails {int} times for slot holder {string}', async function (
  this: SlotsWorld, index: number, times: number, holder: string
) {
  await endWork(this, index, times, holder, 'failed')
})

When('work on target {int} ends as {word} {int} times for slot holder {string}', async function (
  this: SlotsWorld, index: number, result: SlotReport['result'], times: number, holder: string
) {
  await endWork(this, index, times, holder, result)
})

async function endWork (
  world: SlotsWorld, index: number, times: number, holder: string, result: SlotReport['result']
): Promise<void> {
  for (let count = 0; count < times; count += 1) {
    await requestSlots(world, holder, 1, { workClass: 'live', preferred: `target-${index}` })
    const held = findCalls(world, holder, 'live').filter(isOn(index))
    assert.equal(held.length, 1)
    await release(world, held, { result })
  }
}

When('the slot clock advances {int} ms', async function (this: SlotsWorld, ms: number) {
  await this.slotRig.clock.advance(ms)
})

Then('slot holder {string} holds {int} {word} slot(s)', function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  assert.equal(findCalls(this, holder, workClass).filter(isHeld).length, count)
})

Then('slot holder {string} holds {int} live slot(s) on target {int}', function (
  this: SlotsWorld, holder: string, count: number, index: number
) {
  assert.equal(findCalls(this, holder, 'live').filter(isOn(index)).length, count)
})

Then('slot holder {string} waits for {int} {word} slot(s)', function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  assert.equal(findCalls(this, holder, workClass).filter(isWaiting).length, count)
})

Then('{int} {word} slot(s) of slot holder {string} is/are revoked', function (
  this: SlotsWorld, count: number, workClass: WorkClass, holder: string
) {
  const held = findCalls(this, holder, workClass).filter(isHeld)
  const revoked = held.filter((call) => call.grant?.revoked.aborted === true)
  assert.equal(revoked.length, count)
})

Then('{int} {word} request(s) of slot holder {string} is/are refused as {string}', function (
  this: SlotsWorld, count: number, workClass: WorkClass, holder: string, reason: string
) {
  const refused = findCalls(this, holder, workClass).filter((call) => call.refusal !== undefined)
  assert.deepEqual(refused.map((call) => call.refusal?.reason), Array(count).fill(reason))
  assert.ok(refused.every((call) => call.refusal?.outcome === 'not_run'))
})

Then('slot holder {string} is told to retry after {int} to {int} ms', function (
  this: SlotsWorld, holder: string, least: number, most: number
) {
  const [refused] = this.calls.filter((call) => call.holder === holder && call.refusal !== undefined)
  const wait = refused?.refusal?.retryAfterMs ?? 0
  assert.ok(wait >= least && wait <= most, `told to retry after ${wait} ms`)
})

Then('no time has passed for slot holder {string}', function (this: SlotsWorld, holder: string) {
  for (const call of this.calls.filter((each) => each.holder === holder)) assert.equal(call.endedAt, call.sentAt)
})

Then('no request of a slot holder has been refused', function (this: SlotsWorld) {
  assert.deepEqual(this.calls.filter((call) => call.refusal !== undefined), [])
})

Then('the owners count {int} slot(s) in use', function (this: SlotsWorld, count: number) {
  const inUse = getStats(this).map((stats) => stats.inUse)
  assert.equal(inUse.reduce((sum, each) => sum + each, 0), count)
})

Then('account {string} has had {int} live slots', function (this: SlotsWorld, account: string, count: number) {
  assert.equal(this.calls.filter((call) => call.account === account && call.grant !== undefined).length, count)
})

Then('account {string} has had {int} to {int} live slots', function (
  this: SlotsWorld, account: string, least: number, most: number
) {
  const had = this.calls.filter((call) => call.account === account && call.grant !== undefined).length
  assert.ok(had >= least && had <= most, `had ${had} slots`)
})

Then('the limit of the target is at most {int}', function (this: SlotsWorld, limit: number) {
  const [stats] = getStats(this)
  assert.ok(stats!.limit <= limit, `limit ${stats!.limit}`)
})

Then('the limit of the target is at least {int}', function (this: SlotsWorld, limit: number) {
  const [stats] = getStats(this)
  assert.ok(stats!.limit >= limit, `limit ${stats!.limit}`)
})

After(async function (this: Partial<SlotsWorld>) {
  await this.slotRig?.close()
})
