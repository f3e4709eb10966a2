export { getAccountKeys, experiment, type Experiment } from './experiment'
export { runExperiment, type RunExperimentOptions } from './runExperiment'
export { setFaults } from './faultSchedule'
export type { BatchOutcome, ExperimentResult, JobOutcome, LiveResult, Percentiles } from './result'
