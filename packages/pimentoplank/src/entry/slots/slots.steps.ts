import assert from 'node:assert/strict'
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber'
import { create } from '@bufbuild/protobuf'
import {
  createFrameOutbox, HolderFrameSchema, SlotAcquireSchema, slotHomeSettings, SlotHelloSchema, SlotReleaseSchema,
  type HomeFrame, type RefusalError, type SlotGrant, type SlotReport, type SlotRequest, type WorkClass
} from '../../shared'
import type { SlotHomeStats } from '.'
import { createSlotRig, RIG_SERVICE, type SlotRig, type SlotRigOptions } from '../../../features/support/slotRig'

interface Asked {
  holder: string
  workClass: WorkClass
  account: string
  askedAt: number
  endedAt?: number
  grant?: SlotGrant
  refusal?: RefusalError
  released: boolean
}

interface SlotsWorld {
  slotRig: SlotRig
  asked: Asked[]
}

type Ask = Partial<SlotRequest> & { workClass: WorkClass }

const DEADLINE_MS = 30_000
/** Time after which a new home grants the whole limit. */
const SETTLED_MS = 1000
/** Time that holders need to move to the next home. */
const HAND_OVER_MS = 50

async function start (world: SlotsWorld, options: SlotRigOptions): Promise<void> {
  world.slotRig = await createSlotRig(options)
  world.asked = []
}

function ask (world: SlotsWorld, holder: string, req: Ask, signal?: AbortSignal): void {
  const { clock, holders, addHolder } = world.slotRig
  const member = holders.get(holder) ?? addHolder(holder)
  const full: SlotRequest = {
    service: RIG_SERVICE, account: 'desk', weight: 1, deadlineMs: DEADLINE_MS, prefixHash: 0n, excluded: [], ...req
  }
  const asked: Asked = {
    holder, workClass: full.workClass, account: full.account, askedAt: clock.now(), released: false
  }
  world.asked.push(asked)
  member.part.acquire(full, { signal }).match(
    (grant) => { asked.grant = grant },
    (refusal) => {
      asked.refusal = refusal
      asked.endedAt = clock.now()
    }
  ).catch((cause: unknown) => { throw cause })
}

async function askMany (world: SlotsWorld, holder: string, count: number, req: Ask): Promise<void> {
  for (let index = 0; index < count; index += 1) ask(world, holder, req)
  await world.slotRig.settle()
}

function of (world: SlotsWorld, holder: string, workClass: WorkClass): Asked[] {
  return world.asked.filter((asked) => asked.holder === holder && asked.workClass === workClass)
}

function isHeld (asked: Asked): boolean {
  return asked.grant !== undefined && !asked.released
}

function isWaiting (asked: Asked): boolean {
  return asked.grant === undefined && asked.refusal === undefined
}

function isOn (index: number): (asked: Asked) => boolean {
  return (asked) => isHeld(asked) && asked.grant?.target.id === `target-${index}`
}

async function release (
  world: SlotsWorld, held: readonly Asked[], report: SlotReport = { result: 'done' }
): Promise<void> {
  for (const asked of held) {
    asked.released = true
    asked.grant?.release(asked.grant.revoked.aborted ? { result: 'revoked' } : report)
  }
  await world.slotRig.settle()
}

async function releaseSome (
  world: SlotsWorld, holder: string, workClass: WorkClass, count: number, report?: SlotReport
): Promise<void> {
  const held = of(world, holder, workClass).filter(isHeld)
  assert.ok(held.length >= count, `${holder} holds ${held.length}`)
  await release(world, held.slice(0, count), report)
}

/** Runs live work on slots, one after the other. */
async function runLive (
  world: SlotsWorld, holder: string, times: number, report: SlotReport, runMs = 0
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    await askMany(world, holder, 1, { workClass: 'live' })
    await world.slotRig.clock.advance(runMs)
    await releaseSome(world, holder, 'live', 1, report)
  }
}

/** State of the targets at the homes that run. */
function homeStats (world: SlotsWorld): SlotHomeStats[] {
  const running = [...world.slotRig.homes.values()].filter((home) => !home.gate.down)
  return running.flatMap((home) => home.part.stats())
}

Given('a slot rig of {int} home(s) and {int} target(s) with {int} slot(s)', async function (
  this: SlotsWorld, homes: number, targets: number, slots: number
) {
  await start(this, { homes, targets, slots })
})

Given('a slot rig of {int} home(s) and {int} target(s) with {int} slot(s) and home settings', async function (
  this: SlotsWorld, homes: number, targets: number, slots: number, table: DataTable
) {
  const given = Object.entries(table.rowsHash()).map(([name, value]) => [name, Number(value)])
  await start(this, { homes, targets, slots, homeSettings: slotHomeSettings.parse(Object.fromEntries(given)) })
})

Given('a slot rig of {int} homes and {int} target(s) with {int} slots, the first home not yet listed', async function (
  this: SlotsWorld, homes: number, targets: number, slots: number
) {
  await start(this, { homes, targets, slots })
  const id = this.slotRig.homeOf(0)
  this.slotRig.setList((records) => records.filter((record) => record.id !== id))
  await this.slotRig.clock.advance(SETTLED_MS)
})

When('the first home is listed', async function (this: SlotsWorld) {
  this.slotRig.setList(() => this.slotRig.fullList())
  await this.slotRig.settle()
})

Then('the first home counts {int} slots in use', function (this: SlotsWorld, count: number) {
  const [stats] = this.slotRig.homes.get(this.slotRig.homeOf(0))!.part.stats()
  assert.equal(stats?.inUse, count)
})

When('slot holder {string} asks for {int} {word} slot(s)', async function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  await askMany(this, holder, count, { workClass })
})

When('slot holder {string} asks for {int} {word} slot(s) with {int} ms left', async function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass, deadlineMs: number
) {
  await askMany(this, holder, count, { workClass, deadlineMs })
})

When('slot holder {string} asks for {int} live slot(s) as account {string}', async function (
  this: SlotsWorld, holder: string, count: number, account: string
) {
  await askMany(this, holder, count, { workClass: 'live', account })
})

When('slot holder {string} asks for {int} live slot(s) as account {string} with {int} ms left', async function (
  this: SlotsWorld, holder: string, count: number, account: string, deadlineMs: number
) {
  await askMany(this, holder, count, { workClass: 'live', account, deadlineMs })
})

When('slot holder {string} asks for {int} live slot(s) as account {string} with weight {int}', async function (
  this: SlotsWorld, holder: string, count: number, account: string, weight: number
) {
  await askMany(this, holder, count, { workClass: 'live', account, weight })
})

When('slot holder {string} asks for {int} live slot(s) preferring target {int}', async function (
  this: SlotsWorld, holder: string, count: number, index: number
) {
  await askMany(this, holder, count, { workClass: 'live', preferred: `target-${index}` })
})

When('slot holder {string} asks for {int} live slot(s) preferring target {int} and no other', async function (
  this: SlotsWorld, holder: string, count: number, index: number
) {
  const others = [...this.slotRig.targetIds()].filter((id) => id !== `target-${index}`)
  await askMany(this, holder, count, { workClass: 'live', excluded: others })
})

When('slot holder {string} asks for {int} live slot(s) and gives up', async function (
  this: SlotsWorld, holder: string, count: number
) {
  const giveUp = new AbortController()
  for (let index = 0; index < count; index += 1) ask(this, holder, { workClass: 'live' }, giveUp.signal)
  await this.slotRig.settle()
  giveUp.abort()
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
  const [held] = of(this, holder, 'live').filter(isHeld)
  for (let index = 0; index < times; index += 1) await release(this, [held!])
})

When('slot holder {string} releases its live slot on target {int}', async function (
  this: SlotsWorld, holder: string, index: number
) {
  await release(this, of(this, holder, 'live').filter(isOn(index)))
})

When('whoever holds a live slot releases it, {int} times', async function (this: SlotsWorld, times: number) {
  for (let index = 0; index < times; index += 1) await release(this, this.asked.filter(isHeld).slice(0, 1))
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
    await askMany(this, holder, busy, { workClass: 'live' })
    for (let index = 0; index < times; index += 1) {
      await releaseSome(this, holder, 'live', 1, { result: 'done', firstTokenMs })
      await askMany(this, holder, 1, { workClass: 'live' })
    }
  })

When('work on target {int} fails {int} times for slot holder {string}', async function (
  this: SlotsWorld, index: number, times: number, holder: string
) {
  for (let count = 0; count < times; count += 1) {
    await askMany(this, holder, 1, { workClass: 'live', preferred: `target-${index}` })
    const held = of(this, holder, 'live').filter(isOn(index))
    assert.equal(held.length, 1)
    await release(this, held, { result: 'failed' })
  }
})

When('a bare slot stream asks for a slot as ticket {int} and releases tickets {int}, {int} and {int}', async function (
  this: SlotsWorld, asked: number, first: number, second: number, third: number
) {
  const released = [first, second, third]
  const outbox = createFrameOutbox(() => create(HolderFrameSchema))
  const [home] = this.slotRig.homes.values()
  const answers = home!.part.open(outbox.frames(), new AbortController().signal)[Symbol.asyncIterator]()
  outbox.add((frame) => {
    frame.hello = create(SlotHelloSchema, { holder: 'bare' })
    frame.acquires.push(create(SlotAcquireSchema, { ticket: asked, target: 'target-0', deadlineMs: DEADLINE_MS }))
  })
  const { value } = await answers.next()
  assert.deepEqual((value as HomeFrame).granted, [asked])
  outbox.add((frame) => frame.releases.push(...released.map((ticket) => create(SlotReleaseSchema, { ticket }))))
  await this.slotRig.settle()
})

Then('the home has counted {int} late releases', function (this: SlotsWorld, count: number) {
  const [home] = this.slotRig.homes.values()
  assert.equal(home!.metrics.snapshot().counters['slots.releases.late'], count)
})

When('the slot clock moves {int} ms', async function (this: SlotsWorld, ms: number) {
  await this.slotRig.clock.advance(ms)
})

When('the home of the target is killed', async function (this: SlotsWorld) {
  await this.slotRig.kill(this.slotRig.homeOf(0))
})

When('every home is killed', async function (this: SlotsWorld) {
  for (const id of this.slotRig.homes.keys()) await this.slotRig.kill(id)
})

When('the home of the target goes silent', async function (this: SlotsWorld) {
  await this.slotRig.silence(this.slotRig.homeOf(0))
})

When('the home of the target leaves the list', async function (this: SlotsWorld) {
  const id = this.slotRig.homeOf(0)
  this.slotRig.setList((records) => records.filter((record) => record.id !== id))
  await this.slotRig.settle()
})

When('slot holder {string} no longer sees the home of the target', async function (this: SlotsWorld, holder: string) {
  if (!this.slotRig.holders.has(holder)) this.slotRig.addHolder(holder)
  const id = this.slotRig.homeOf(0)
  this.slotRig.setList((records) => records.filter((record) => record.id !== id), [holder])
  await this.slotRig.settle()
})

When('the home of the target hands over', async function (this: SlotsWorld) {
  const handedOver = this.slotRig.homes.get(this.slotRig.homeOf(0))!.part.handOver()
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

When('target {int} leaves the list', async function (this: SlotsWorld, index: number) {
  this.slotRig.setList((records) => records.filter((record) => record.id !== `target-${index}`))
  await this.slotRig.settle()
})

When('the homes alone see that target {int} leaves', async function (this: SlotsWorld, index: number) {
  const homes = [...this.slotRig.homes.keys()]
  this.slotRig.setList((records) => records.map((record) =>
    record.id === `target-${index}` ? { ...record, state: 'leaving' } : record), homes)
  await this.slotRig.settle()
})

When('slot holder {string} notes that target {int} leaves', async function (
  this: SlotsWorld, holder: string, index: number
) {
  this.slotRig.addHolder(holder).membership.noteLeaving(`target-${index}`, 'ownAnswer')
  await this.slotRig.settle()
})

Then('slot holder {string} holds {int} {word} slot(s)', function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  assert.equal(of(this, holder, workClass).filter(isHeld).length, count)
})

Then('slot holder {string} holds {int} live slot(s) on target {int}', function (
  this: SlotsWorld, holder: string, count: number, index: number
) {
  assert.equal(of(this, holder, 'live').filter(isOn(index)).length, count)
})

Then('slot holder {string} waits for {int} {word} slot(s)', function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  assert.equal(of(this, holder, workClass).filter(isWaiting).length, count)
})

Then('{int} {word} slot(s) of slot holder {string} is/are revoked', function (
  this: SlotsWorld, count: number, workClass: WorkClass, holder: string
) {
  const revoked = of(this, holder, workClass).filter((asked) => isHeld(asked) && asked.grant?.revoked.aborted === true)
  assert.equal(revoked.length, count)
})

Then('{int} {word} request(s) of slot holder {string} is/are refused as {string}', function (
  this: SlotsWorld, count: number, workClass: WorkClass, holder: string, reason: string
) {
  const refused = of(this, holder, workClass).filter((asked) => asked.refusal !== undefined)
  assert.deepEqual(refused.map((asked) => asked.refusal?.reason), Array(count).fill(reason))
  assert.ok(refused.every((asked) => asked.refusal?.outcome === 'not_run'))
})

Then('slot holder {string} is told to come back after {int} to {int} ms', function (
  this: SlotsWorld, holder: string, least: number, most: number
) {
  const [refused] = this.asked.filter((asked) => asked.holder === holder && asked.refusal !== undefined)
  const wait = refused?.refusal?.retryAfterMs ?? 0
  assert.ok(wait >= least && wait <= most, `${wait} ms`)
})

Then('no time has passed for slot holder {string}', function (this: SlotsWorld, holder: string) {
  for (const asked of this.asked.filter((asked) => asked.holder === holder)) assert.equal(asked.endedAt, asked.askedAt)
})

Then('no request of a slot holder has been refused', function (this: SlotsWorld) {
  assert.deepEqual(this.asked.filter((asked) => asked.refusal !== undefined), [])
})

Then('the homes count {int} slot(s) in use', function (this: SlotsWorld, count: number) {
  const inUse = homeStats(this).map((stats) => stats.inUse)
  assert.equal(inUse.reduce((sum, each) => sum + each, 0), count)
})

Then('slot holder {string} has counted retries for a lost home', function (this: SlotsWorld, holder: string) {
  const { counters } = this.slotRig.holders.get(holder)!.metrics.snapshot()
  assert.ok(counters['retries.homeLost']! > 0)
})

Then('account {string} has had {int} live slots', function (this: SlotsWorld, account: string, count: number) {
  assert.equal(this.asked.filter((asked) => asked.account === account && asked.grant !== undefined).length, count)
})

Then('account {string} has had {int} to {int} live slots', function (
  this: SlotsWorld, account: string, least: number, most: number
) {
  const had = this.asked.filter((asked) => asked.account === account && asked.grant !== undefined).length
  assert.ok(had >= least && had <= most, `${had} slots`)
})

Then('the limit of the target is at most {int}', function (this: SlotsWorld, limit: number) {
  const [stats] = homeStats(this)
  assert.ok(stats!.limit <= limit, `limit ${stats!.limit}`)
})

Then('the limit of the target is at least {int}', function (this: SlotsWorld, limit: number) {
  const [stats] = homeStats(this)
  assert.ok(stats!.limit >= limit, `limit ${stats!.limit}`)
})

After(async function (this: Partial<SlotsWorld>) {
  await this.slotRig?.close()
})
