/** Runs one seed: starts a deployment, injects its faults and checks the guarantees. */
import { rm } from 'node:fs/promises'
import path from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { PORTS, send } from 'pimentoplank-platform/testing'
import { startCallers } from './callers'
import { findViolations } from './checks'
import { injectFaults } from './inject'
import {
  createSoakRandom, CUT_FAULT_KINDS, generateFaults, generateLongFaults, LEAVING_FAULT_KINDS, VERSION_FAULT_KINDS
} from './plan'
import { startObserver } from './observer'
import { isShorter } from './orderChecks'
import { startSoakFleet, type SoakFleet } from './soakFleet'

export interface SeedOptions {
  seed: number
  /** Time in which faults start, in milliseconds. */
  lengthMs: number
  instances: number
  targets: number
  /** Adds the long faults of targets. */
  withLongFaults: boolean
  /** Adds pauses of sound targets, and targets of several software versions. */
  withVersionFaults: boolean
  /** Adds targets that say in their answers that they leave. */
  withLeavingTargets: boolean
  /** Adds instances that are cut off from all targets. */
  withCutInstances: boolean
  /** Folder for logs; those of a seed without violations are removed. */
  folder: string
}

/** Options with which a seed has every kind of fault. */
export const EVERY_FAULT = {
  withLongFaults: true, withVersionFaults: true, withLeavingTargets: true, withCutInstances: true
}
/** Options with which a seed has short faults only. */
export const SHORT_FAULTS = {
  withLongFaults: false, withVersionFaults: false, withLeavingTargets: false, withCutInstances: false
}

export interface SeedOutcome {
  seed: number
  faults: number
  requests: number
  whole: number
  /** Number of attempts that took up a stream. */
  resumed: number
  /** Number of runs in which a target paused. */
  paused: number
  jobs: number
  /** Number of pages of jobs that were read, and of those with nothing where a result had been read just before. */
  pages: number
  short: number
  /** Number of answers of the directory, and on routes of one version of the configuration. */
  directories: number
  probes: number
  broken: string[]
}

const HTTP_OK = 200
/** Added to the seed for the generator of the long faults. */
const LONG_FAULT_SEED = 1_000_003
/** Multiplied with the seed for pauses and versions; the first numbers of neighbouring seeds are much the same. */
const VERSION_FAULT_FACTOR = 0x9e3779b1
/** The same for targets that say that they leave. */
const LEAVING_FAULT_FACTOR = 0x85ebca6b
/** The same for instances that are cut off. */
const CUT_FAULT_FACTOR = 0x27d4eb2f
const START_TIMEOUT_MS = 15_000
/** Time within which the deployment must recover after the last fault, in milliseconds. */
const RECOVERY_MS = 6000
/** Time during which requests are observed after recovery, in milliseconds. */
const OBSERVATION_MS = 2000
/** Maximum time for accepted jobs to complete after that, in milliseconds. */
const JOB_TIMEOUT_MS = 30_000

/** Runs a seed and checks every guarantee. */
export async function runSeed (options: SeedOptions): Promise<SeedOutcome> {
  const { seed, lengthMs } = options
  const folder = path.join(options.folder, `seed-${seed}`)
  const random = createSoakRandom(seed)
  const plan = generateFaults(random, lengthMs)
  if (options.withLongFaults) plan.push(...generateLongFaults(createSoakRandom(seed + LONG_FAULT_SEED), lengthMs))
  if (options.withVersionFaults) {
    const versionRandom = createSoakRandom(Math.imul(seed, VERSION_FAULT_FACTOR))
    plan.push(...generateLongFaults(versionRandom, lengthMs, VERSION_FAULT_KINDS))
  }
  if (options.withLeavingTargets) {
    const leavingRandom = createSoakRandom(Math.imul(seed, LEAVING_FAULT_FACTOR))
    plan.push(...generateLongFaults(leavingRandom, lengthMs, LEAVING_FAULT_KINDS))
  }
  if (options.withCutInstances) {
    plan.push(...generateLongFaults(createSoakRandom(Math.imul(seed, CUT_FAULT_FACTOR)), lengthMs, CUT_FAULT_KINDS))
  }
  const fleet = await startSoakFleet({ instances: options.instances, targets: options.targets, folder, run: seed })
  try {
    await waitUntilReady(fleet)
    const callers = startCallers(fleet, random, `s${seed}`)
    const observer = startObserver(fleet, `s${seed}`)
    const faults = await injectFaults(fleet, plan)
    await pause(RECOVERY_MS)
    const recoveredAt = Date.now()
    await pause(OBSERVATION_MS)
    await callers.finish()
    await callers.readJobs(JOB_TIMEOUT_MS)
    await callers.readJobsAgain()
    const observed = await observer.finish()
    const { attempts, jobs } = callers
    const broken = findViolations({ fleet, attempts, jobs, faults, recoveredAt, observed })
    const whole = attempts.filter(({ answer }) => answer?.status === HTTP_OK && answer.isWhole).length
    const resumed = attempts.filter(({ from }) => from > 0).length
    const paused = fleet.targets.flatMap(({ standin }) => standin.runs).filter((one) => one.paused !== undefined).length
    if (broken.length === 0) await rm(folder, { recursive: true, force: true })
    return {
      seed,
      faults: faults.length,
      requests: attempts.length,
      whole,
      resumed,
      paused,
      jobs: jobs.length,
      pages: jobs.reduce((sum, { pages }) => sum + pages.length, 0),
      short: jobs.flatMap(({ pages }) => pages.filter((page) => isShorter(page, pages, 0))).length,
      directories: observed.directories.length,
      probes: observed.probes.length,
      broken
    }
  } finally {
    await fleet.close()
  }
}

/** Waits until every instance of a deployment is ready; throws after a time. */
export async function waitUntilReady ({ instances }: SoakFleet): Promise<void> {
  const deadline = Date.now() + START_TIMEOUT_MS
  for (const { ip } of instances) {
    while (!await isReady(ip)) {
      if (Date.now() > deadline) throw new Error(`${ip} was not ready within ${START_TIMEOUT_MS} ms`)
      await pause(100)
    }
  }
}

async function isReady (ip: string): Promise<boolean> {
  try {
    const { status } = await send({ address: `${ip}:${PORTS.ready}` }, '/pimentoplank/readiness', { method: 'GET' })
    return status === HTTP_OK
  } catch {
    return false
  }
}
