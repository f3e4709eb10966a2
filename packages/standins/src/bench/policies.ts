/** Builds program settings that select the policies under comparison. */
import type { DeploymentPlan } from '../deployment'

type ProgramSettings = DeploymentPlan['settings']

/** Interval between commits of batch results, in milliseconds; short, so that progress shows during a run. */
const COMMIT_EVERY_MS = 1000

/** Builds the base settings of every benchmark, which commit batch results more often than the default. */
export function createBaseSettings (changes: Partial<ProgramSettings> = {}): ProgramSettings {
  return {
    entry: changes.entry ?? {},
    batch: changes.batch ?? { batch: { commit: { everyMs: COMMIT_EVERY_MS } } },
    controller: changes.controller ?? {}
  }
}

/** Builds settings for commits of batch results. */
export function createCommitSettings (items: number, everyMs: number): ProgramSettings {
  return createBaseSettings({ batch: { batch: { commit: { items, everyMs } } } })
}

/** Builds settings for the retry budget: `budgetRatio` retries per request, plus a reserve. */
export function createRetrySettings (budgetRatio: number, budgetReserve: number): ProgramSettings {
  return createBaseSettings({ entry: { retries: { budgetRatio, budgetReserve } } })
}

/** Builds settings for the slot client of entry instances. */
export function createSlotClientSettings (slotClient: Record<string, unknown>): ProgramSettings {
  return createBaseSettings({ entry: { slotClient } })
}

/** Builds settings for the slot scheduler of entry instances. */
export function createSlotSchedulerSettings (slotHome: Record<string, unknown>): ProgramSettings {
  return createBaseSettings({ entry: { slotHome } })
}
