/** Runs one experiment against entry instances. */
import { createSystemClock, type Clock } from 'pimentoplank/shared'
import { createCaller, type Caller } from '../caller'
import { generateArrivals } from './arrivals'
import { runBatch } from './batchRun'
import { getAccountKeys, type Experiment } from './experiment'
import { runFaultSchedule } from './faultSchedule'
import { runLive } from './liveRun'
import { createRandom } from './random'
import type { ExperimentResult } from './result'

export interface RunExperimentOptions {
  experiment: Experiment
  /** Addresses of entry instances from which callers read the directory. */
  entries: readonly string[]
  /** URLs of stand-ins by the target names in the fault schedule. */
  targets?: Readonly<Record<string, string>>
  commit?: string
  clock?: Clock
}

/** Runs live load, batch jobs and the fault schedule concurrently, and collects what callers observed. */
export async function runExperiment (options: RunExperimentOptions): Promise<ExperimentResult> {
  const { experiment } = options
  const clock = options.clock ?? createSystemClock()
  const arrivals = generateArrivals(experiment)
  const callers = getAccountKeys(experiment).map((key, index) => createSeededCaller(options, key, index))
  const batchKey = experiment.batchKey ?? getAccountKeys(experiment)[0]!
  const batchCaller = createSeededCaller(options, batchKey, -1)
  const faultAbort = new AbortController()
  try {
    // Every caller reads the directory before the first request, so that latencies are those of a long-running caller.
    await Promise.all(callers.map(async (caller) => await caller.getAddresses()))
    const startedAtIso = new Date().toISOString()
    const startedAt = clock.now()
    const faultsDone = runFaultSchedule({
      clock, faults: experiment.faults, targets: options.targets ?? {}, startedAt, signal: faultAbort.signal
    })
    const [live, batch] = await Promise.all([
      experiment.live === undefined ? undefined : runLive({ clock, experiment, arrivals, callers, startedAt }),
      experiment.batch === undefined
        ? undefined
        : runBatch({ clock, experiment, batch: experiment.batch, caller: batchCaller, startedAt })
    ])
    faultAbort.abort()
    await faultsDone
    return { experiment, commit: options.commit, startedAt: startedAtIso, live, batch }
  } finally {
    faultAbort.abort()
    await Promise.all([...callers, batchCaller].map(async (caller) => await caller.close()))
  }
}

function createSeededCaller ({ experiment, entries }: RunExperimentOptions, key: string, index: number): Caller {
  const random = createRandom(experiment.seed, `caller/${index}`)
  return createCaller({ seeds: entries, key, random: random.float })
}
