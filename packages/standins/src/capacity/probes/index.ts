import { accounts } from './accounts'
import { batch } from './batch'
import { controllers } from './controllers'
import { instances } from './instances'
import { jobs } from './jobs'
import { liveRate, liveTokens } from './live'
import { outage } from './outage'
import { runners } from './runners'
import { targets } from './targets'
import type { Probe } from './types'

/** All probes, by name. */
export const PROBES: Readonly<Record<string, Probe>> = {
  instances, targets, accounts, jobs, runners, controllers, outage, liveRate, liveTokens, batch
}

/** Probe schedule: stages run one after another; the lanes of a stage run in parallel, each its probes in order. */
export const STAGES: ReadonlyArray<ReadonlyArray<readonly string[]>> = [
  [['instances'], ['targets', 'jobs'], ['accounts', 'runners']],
  [['liveRate', 'liveTokens', 'batch'], ['controllers'], ['outage']]
]

export type { Probe, ProbeContext, ProbeResult } from './types'
