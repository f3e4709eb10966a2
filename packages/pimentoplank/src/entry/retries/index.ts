export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './retryBudget'
