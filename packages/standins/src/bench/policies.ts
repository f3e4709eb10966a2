/** Settings that switch a policy of the programs, for comparisons. */
import type { DeploymentPlan } from '../deployment'

type ProgramSettings = DeploymentPlan['settings']

/** Results are committed this often in benchmarks, so that progress can be followed, in milliseconds. */
const COMMIT_EVERY_MS = 1000

/** Settings of every benchmark: results are committed more often than by default. */
export function baseSettings (changes: Partial<ProgramSettings> = {}): ProgramSettings {
  return {
    entry: changes.entry ?? {},
    batch: changes.batch ?? { batch: { commit: { everyMs: COMMIT_EVERY_MS } } },
    controller: changes.controller ?? {}
  }
}

/** Settings of the commit of batch results. */
export function commitSettings (items: number, everyMs: number): ProgramSettings {
  return baseSettings({ batch: { batch: { commit: { items, everyMs } } } })
}

/** Settings of the retry budget: `ratio` retries for each request, and a reserve. */
export function retrySettings (budgetRatio: number, budgetReserve: number): ProgramSettings {
  return baseSettings({ entry: { retries: { budgetRatio, budgetReserve } } })
}

/** Settings of the holder's side of admission, for entry instances. */
export function slotSettings (slotClient: Record<string, unknown>): ProgramSettings {
  return baseSettings({ entry: { slotClient } })
}

/** Settings of the home's side of admission, for entry instances. */
export function homeSettings (slotHome: Record<string, unknown>): ProgramSettings {
  return baseSettings({ entry: { slotHome } })
}
