export { createProgramContext, type ProgramContext, type ProgramContextOptions } from './programContext'
export { runDaemon, type DaemonOptions } from './daemon'
