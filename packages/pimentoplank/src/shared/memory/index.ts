export {
  createMemoryBudget, LARGE_HOLDING_BYTES, LARGE_HOLDINGS_SHARE, MIN_STALL_MS, PROGRESS_BYTES,
  type MemoryAccount, type MemoryAccountOptions, type MemoryBudget, type MemoryBudgetOptions
} from './memoryBudget'
