import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { RefusalError, SlotGrant, SlotRequest, WorkClass } from '../../shared'
import { createSlotRig, RIG_SERVICE, type SlotRig, type SlotRigOptions } from '../../../features/support/slotRig'

interface Asked {
  holder: string
  workClass: WorkClass
  account: string
  grant?: SlotGrant
  refusal?: RefusalError
  released: boolean
}

interface SlotsWorld {
  slotRig: SlotRig
  asked: Asked[]
}

type Ask = Partial<SlotRequest> & { workClass: WorkClass }

const DEADLINE_MS = 10_000

async function start (world: SlotsWorld, options: SlotRigOptions): Promise<void> {
  world.slotRig = await createSlotRig(options)
  world.asked = []
}

function ask (world: SlotsWorld, holder: string, req: Ask): void {
  const member = world.slotRig.holders.get(holder) ?? world.slotRig.addHolder(holder)
  const full: SlotRequest = {
    service: RIG_SERVICE, account: 'desk', weight: 1, deadlineMs: DEADLINE_MS, prefixHash: 0n, excluded: [], ...req
  }
  const asked: Asked = { holder, workClass: full.workClass, account: full.account, released: false }
  world.asked.push(asked)
  member.part.acquire(full).match(
    (grant) => { asked.grant = grant },
    (refusal) => { asked.refusal = refusal }
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

Given('a slot rig of {int} home(s) and {int} target(s) with {int} slots', async function (
  this: SlotsWorld, homes: number, targets: number, slots: number
) {
  await start(this, { homes, targets, slots })
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

When('slot holder {string} releases {int} {word} slot(s)', async function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  const held = of(this, holder, workClass).filter(isHeld)
  assert.ok(held.length >= count, `${held.length} held`)
  for (const asked of held.slice(0, count)) {
    asked.released = true
    asked.grant?.release({ result: asked.grant.revoked.aborted ? 'revoked' : 'done' })
  }
  await this.slotRig.settle()
})

Then('slot holder {string} holds {int} {word} slot(s)', function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  assert.equal(of(this, holder, workClass).filter(isHeld).length, count)
})

Then('slot holder {string} waits for {int} {word} slot(s)', function (
  this: SlotsWorld, holder: string, count: number, workClass: WorkClass
) {
  assert.equal(of(this, holder, workClass).filter(isWaiting).length, count)
})

Then('{int} {word} slots of slot holder {string} are revoked', function (
  this: SlotsWorld, count: number, workClass: WorkClass, holder: string
) {
  const revoked = of(this, holder, workClass).filter((asked) => isHeld(asked) && asked.grant?.revoked.aborted === true)
  assert.equal(revoked.length, count)
})

After(async function (this: Partial<SlotsWorld>) {
  await this.slotRig?.close()
})
