/** All comparisons of the benchmark, by name. */
import type { Comparison } from '../comparison'
import { batchBesideLive } from './batchBesideLive'
import { commitSize } from './commitSize'
import { limitWays } from './limitWays'
import { overhead } from './overhead'
import { overload, retryBudget } from './overload'
import { recovery } from './recovery'
import { prefixAffinity, routing } from './routing'

export interface ComparisonScale {
  /** Time during which each run sends live requests, in milliseconds. */
  durationMs: number
}

export type CreateComparison = (scale: ComparisonScale) => Comparison

/** Comparisons in the order in which they run. */
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

/** Comparisons of the quick run. */
export const QUICK_COMPARISONS = ['batchBesideLive', 'overhead']
