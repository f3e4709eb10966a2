/** What the scenarios of slots share: who asked for what, and what became of it. */
import assert from 'node:assert/strict'
import type { SlotHomeStats } from '../../src/entry/slots'
import type { RefusalError, SlotGrant, SlotReport, SlotRequest, WorkClass } from '../../src/shared'
import { createSlotRig, RIG_SERVICE, type SlotRig, type SlotRigOptions } from './slotRig'

export interface Asked {
  holder: string
  workClass: WorkClass
  account: string
  askedAt: number
  endedAt?: number
  grant?: SlotGrant
  refusal?: RefusalError
  released: boolean
}

export interface SlotsWorld {
  slotRig: SlotRig
  asked: Asked[]
}

export type Ask = Partial<SlotRequest> & { workClass: WorkClass }

export const DEADLINE_MS = 30_000

/** Starts the rig of a scenario. */
export async function startRig (world: SlotsWorld, options: SlotRigOptions): Promise<void> {
  world.slotRig = await createSlotRig(options)
  world.asked = []
}

export function ask (world: SlotsWorld, holder: string, req: Ask, signal?: AbortSignal): void {
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

export async function askMany (world: SlotsWorld, holder: string, count: number, req: Ask): Promise<void> {
  for (let index = 0; index < count; index += 1) ask(world, holder, req)
  await world.slotRig.settle()
}

/** What a holder has asked for, of one class. */
export function askedBy (world: SlotsWorld, holder: string, workClass: WorkClass): Asked[] {
  return world.asked.filter((asked) => asked.holder === holder && asked.workClass === workClass)
}

export function isHeld (asked: Asked): boolean {
  return asked.grant !== undefined && !asked.released
}

export function isWaiting (asked: Asked): boolean {
  return asked.grant === undefined && asked.refusal === undefined
}

export function isOn (index: number): (asked: Asked) => boolean {
  return (asked) => isHeld(asked) && asked.grant?.target.id === `target-${index}`
}

export async function release (
  world: SlotsWorld, held: readonly Asked[], report: SlotReport = { result: 'done' }
): Promise<void> {
  for (const asked of held) {
    asked.released = true
    asked.grant?.release(asked.grant.revoked.aborted ? { result: 'revoked' } : report)
  }
  await world.slotRig.settle()
}

export async function releaseSome (
  world: SlotsWorld, holder: string, workClass: WorkClass, count: number, report?: SlotReport
): Promise<void> {
  const held = askedBy(world, holder, workClass).filter(isHeld)
  assert.ok(held.length >= count, `${holder} holds ${held.length}`)
  await release(world, held.slice(0, count), report)
}

/** Runs live work on slots, one after the other. */
export async function runLive (
  world: SlotsWorld, holder: string, times: number, report: SlotReport, runMs = 0
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    await askMany(world, holder, 1, { workClass: 'live' })
    await world.slotRig.clock.advance(runMs)
    await releaseSome(world, holder, 'live', 1, report)
  }
}

/** State of the targets at the homes that run. */
export function homeStats (world: SlotsWorld): SlotHomeStats[] {
  const running = [...world.slotRig.homes.values()].filter((home) => !home.gate.down)
  return running.flatMap((home) => home.part.stats())
}
