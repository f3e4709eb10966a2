/** Shared state of the slot scenarios: every slot request and its outcome. */
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
  const attempt: Asked = {
    holder, workClass: full.workClass, account: full.account, askedAt: clock.now(), released: false
  }
  world.asked.push(attempt)
  member.part.acquire(full, { signal }).match(
    (grant) => { attempt.grant = grant },
    (refusal) => {
      attempt.refusal = refusal
      attempt.endedAt = clock.now()
    }
  ).catch((cause: unknown) => { throw cause })
}

export async function askMany (world: SlotsWorld, holder: string, count: number, req: Ask): Promise<void> {
  for (let index = 0; index < count; index += 1) ask(world, holder, req)
  await world.slotRig.settle()
}

/** Finds the requests of a holder in one work class. */
export function askedBy (world: SlotsWorld, holder: string, workClass: WorkClass): Asked[] {
  return world.asked.filter((attempt) => attempt.holder === holder && attempt.workClass === workClass)
}

export function isHeld (attempt: Asked): boolean {
  return attempt.grant !== undefined && !attempt.released
}

export function isWaiting (attempt: Asked): boolean {
  return attempt.grant === undefined && attempt.refusal === undefined
}

export function isOn (index: number): (attempt: Asked) => boolean {
  return (attempt) => isHeld(attempt) && attempt.grant?.target.id === `target-${index}`
}

export async function release (
  world: SlotsWorld, held: readonly Asked[], report: SlotReport = { result: 'done' }
): Promise<void> {
  for (const attempt of held) {
    attempt.released = true
    attempt.grant?.release(attempt.grant.revoked.aborted ? { result: 'revoked' } : report)
  }
  await world.slotRig.settle()
}

export async function releaseSome (
  world: SlotsWorld, holder: string, workClass: WorkClass, count: number, report?: SlotReport
): Promise<void> {
  const held = askedBy(world, holder, workClass).filter(isHeld)
  assert.ok(held.length >= count, `too few slots to release: ${holder} holds ${held.length}`)
  await release(world, held.slice(0, count), report)
}

/** Acquires and releases live slots one after the other, each after `runMs`. */
export async function runLive (
  world: SlotsWorld, holder: string, times: number, report: SlotReport, runMs = 0
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    await askMany(world, holder, 1, { workClass: 'live' })
    await world.slotRig.clock.advance(runMs)
    await releaseSome(world, holder, 'live', 1, report)
  }
}

/** Returns the target statistics of all owners that are up. */
export function homeStats (world: SlotsWorld): SlotHomeStats[] {
  const running = [...world.slotRig.homes.values()].filter((owner) => !owner.gate.down)
  return running.flatMap((owner) => owner.part.stats())
}
