export { createProgramContext, type ProgramContext, type ProgramContextOptions, type StatusSource } from './programContext'
export { runDaemon, type DaemonOptions } from './daemon'
