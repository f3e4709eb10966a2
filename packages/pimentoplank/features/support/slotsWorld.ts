/** Shared state of the slot scenarios: every acquire call and its outcome. */
import assert from 'node:assert/strict'
import type { TargetStats } from '../../src/entry/slots'
import type { RefusalError, SlotGrant, SlotReport, SlotRequest, WorkClass } from '../../src/shared'
import { createSlotRig, RIG_SERVICE, type SlotRig, type SlotRigOptions } from './slotRig'

export interface SlotCall {
  holder: string
  workClass: WorkClass
  account: string
  sentAt: number
  endedAt?: number
  grant?: SlotGrant
  refusal?: RefusalError
  released: boolean
}

export interface SlotsWorld {
  slotRig: SlotRig
  calls: SlotCall[]
}

export type SlotRequestOptions = Partial<SlotRequest> & { workClass: WorkClass }

export const DEADLINE_MS = 30_000

/** Starts the rig of a scenario. */
export async function startRig (world: SlotsWorld, options: SlotRigOptions): Promise<void> {
  world.slotRig = await createSlotRig(options)
  world.calls = []
}

export function requestSlot (world: SlotsWorld, holder: string, req: SlotRequestOptions, signal?: AbortSignal): void {
  const { clock, holders, addHolder } = world.slotRig
  const member = holders.get(holder) ?? addHolder(holder)
  const full: SlotRequest = {
    service: RIG_SERVICE, account: 'desk', weight: 1, deadlineMs: DEADLINE_MS, prefixHash: 0n, excluded: [], ...req
  }
  const call: SlotCall = {
    holder, workClass: full.workClass, account: full.account, sentAt: clock.now(), released: false
  }
  world.calls.push(call)
  member.part.acquire(full, { signal }).match(
    (grant) => { call.grant = grant },
    (refusal) => {
      call.refusal = refusal
      call.endedAt = clock.now()
    }
  ).catch((cause: unknown) => { throw cause })
}

export async function requestSlots (
  world: SlotsWorld, holder: string, count: number, req: SlotRequestOptions
): Promise<void> {
  for (let index = 0; index < count; index += 1) requestSlot(world, holder, req)
  await world.slotRig.settle()
}

/** Finds the acquire calls of a holder in one work class. */
export function findCalls (world: SlotsWorld, holder: string, workClass: WorkClass): SlotCall[] {
  return world.calls.filter((call) => call.holder === holder && call.workClass === workClass)
}

export function isHeld (call: SlotCall): boolean {
  return call.grant !== undefined && !call.released
}

export function isWaiting (call: SlotCall): boolean {
  return call.grant === undefined && call.refusal === undefined
}

export function isOn (index: number): (call: SlotCall) => boolean {
  return (call) => isHeld(call) && call.grant?.target.id === `target-${index}`
}

export async function release (
  world: SlotsWorld, held: readonly SlotCall[], report: SlotReport = { result: 'done' }
): Promise<void> {
  for (const call of held) {
    call.released = true
    call.grant?.release(call.grant.revoked.aborted ? { result: 'revoked' } : report)
  }
  await world.slotRig.settle()
}

export async function releaseSome (
  world: SlotsWorld, holder: string, workClass: WorkClass, count: number, report?: SlotReport
): Promise<void> {
  const held = findCalls(world, holder, workClass).filter(isHeld)
  assert.ok(held.length >= count, `too few slots to release: ${holder} holds ${held.length}`)
  await release(world, held.slice(0, count), report)
}

/** Acquires and releases live slots one after the other, each after `runMs`. */
export async function runLive (
  world: SlotsWorld, holder: string, times: number, report: SlotReport, runMs = 0
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    await requestSlots(world, holder, 1, { workClass: 'live' })
    await world.slotRig.clock.advance(runMs)
    await releaseSome(world, holder, 'live', 1, report)
  }
}

/** Returns the target statistics of all owners that are up. */
export function getStats (world: SlotsWorld): TargetStats[] {
  const running = [...world.slotRig.owners.values()].filter((owner) => !owner.gate.down)
  return running.flatMap((owner) => owner.part.stats())
}
