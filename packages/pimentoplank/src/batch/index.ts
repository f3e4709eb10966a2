export { createBatchRunner, type BatchRunner, type BatchRunnerOptions, type BatchRunnerStatus } from './runner'
export type { RunnerDeps } from './context'
export { batchSettings, runnerSettings, type BatchSettings, type RunnerSettings } from './settings'
