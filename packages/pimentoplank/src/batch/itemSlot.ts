/** Acquires the slots of items. */
import type { Result } from 'neverthrow'
import { SECOND_MS, type ModelEntry, type RefusalError, type SlotGrant } from '../shared'
import type { RunnerContext } from './context'
import { isPinned, type ItemTask } from './itemTask'
import { findUnfitTargets, type BegunText } from './itemVersion'

/** Bounds of the pause after a refused request for a slot, in milliseconds. */
export const MIN_SLOT_PAUSE_MS = 100
const MAX_SLOT_PAUSE_MS = 5 * SECOND_MS

/** Returns the pause after a refused request for a slot, in milliseconds. */
export function computeSlotPauseMs ({ retryAfterMs }: RefusalError): number {
  return Math.max(MIN_SLOT_PAUSE_MS, Math.min(retryAfterMs ?? 0, MAX_SLOT_PAUSE_MS))
}

/**
 * Acquires a slot for an item, on a target on which it failed lately only if no other is left.
 *
 * @param without - id of a target that the item must not get
 * @param begun - text that the item continues; by default, that of its resume point
 */
export async function acquireSlot (
  { config, membership, quarantine, slots, settings }: RunnerContext,
  task: ItemTask,
  model: ModelEntry,
  signal: AbortSignal,
  { without, begun = task.resume }: { without?: string, begun?: BegunText } = {}
): Promise<Result<SlotGrant, RefusalError>> {
  const { hashes, resume } = task
  const targetIds = membership.targets(model.service).map(({ id }) => id)
  const others = targetIds.filter((id) => id !== resume?.targetId)
  const unfit = [...findUnfitTargets(membership, model.service, begun), ...(without === undefined ? [] : [without])]
  const isOtherLeft = targetIds.some((id) => !unfit.includes(id) && !task.excluded.includes(id))
  const avoided = isOtherLeft ? task.excluded : []
  task.isWaiting = true
  const granted = await slots.acquire({
    service: model.service,
    model: model.name,
    workClass: 'batch',
    account: task.account,
    weight: config.current().accounts.get(task.account)?.weight ?? 1,
    deadlineMs: settings.slotWaitMs,
    prefixHash: hashes.prefixHash,
    excluded: isPinned(task)
      ? others
      : [...unfit, ...avoided, ...quarantine.findTargetsWithSuspects(hashes.contentHash)],
    preferred: resume?.targetId
  }, { signal })
  task.isWaiting = false
  return granted
}
