/** Every comparison of the benchmark, by name. */
import type { Comparison } from '../comparison'
import { batchBesideLive } from './batchBesideLive'
import { commitSize } from './commitSize'
import { limitWays } from './limitWays'
import { overhead } from './overhead'
import { overload, retryBudget } from './overload'
import { recovery } from './recovery'
import { prefixAffinity, routing } from './routing'

export interface ComparisonScale {
  /** Time in which live requests are sent in each run, in milliseconds. */
  durationMs: number
}

export type CreateComparison = (scale: ComparisonScale) => Comparison

/** In the order in which they run. */
export const COMPARISONS: Record<string, CreateComparison> = {
  batchBesideLive,
  limitWays,
  overhead,
  overload,
  recovery,
  routing,
  prefixAffinity,
  retryBudget,
  commitSize
}

/** Those of the quick run. */
export const QUICK_COMPARISONS = ['batchBesideLive', 'overhead']
