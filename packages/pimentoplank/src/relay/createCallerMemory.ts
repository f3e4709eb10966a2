/** Creates the budget for the memory that callers make an instance keep. */
import { createMemoryBudget, LARGE_HOLDINGS_SHARE, type MemoryBudget, type MemoryBudgetOptions } from '../shared'
import { CALLER_MEMORY_SHARE, MIN_CALLER_MEMORY_BODIES } from './constants'

export interface CallerMemory {
  budget: MemoryBudget
  /**
   * Makes sure that a few of the largest bodies fit.
   *
   * @param maxBodyBytes - size of the largest allowed body, in bytes
   */
  ensureBodies: (maxBodyBytes: number) => void
}

/** @param options.memoryBytes - memory of the process, in bytes */
export function createCallerMemory (
  { memoryBytes, ...options }: Omit<MemoryBudgetOptions, 'totalBytes'> & { memoryBytes: number }
): CallerMemory {
  const shareBytes = memoryBytes * CALLER_MEMORY_SHARE
  const budget = createMemoryBudget({ ...options, totalBytes: shareBytes })
  return {
    budget,
    ensureBodies: (maxBodyBytes) => {
      budget.setTotalBytes(Math.max(shareBytes, MIN_CALLER_MEMORY_BODIES * maxBodyBytes / LARGE_HOLDINGS_SHARE))
    }
  }
}
