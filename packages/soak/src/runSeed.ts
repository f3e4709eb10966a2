/** Plays one seed from start to end. */
import { rm } from 'node:fs/promises'
import path from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { PORTS, send } from 'pimentoplank-platform/testing'
import { startCallers } from './callers'
import { findBroken } from './checks'
import { injectFaults } from './inject'
import { createSoakRandom, drawFaults } from './plan'
import { startSoakFleet, type SoakFleet } from './soakFleet'

export interface SeedOptions {
  seed: number
  /** How long faults come, in milliseconds. */
  lengthMs: number
  instances: number
  targets: number
  /** Folder for logs; those of a seed that keeps every promise are removed. */
  folder: string
}

export interface SeedOutcome {
  seed: number
  faults: number
  requests: number
  whole: number
  jobs: number
  broken: string[]
}

const HTTP_OK = 200
const START_LIMIT_MS = 15_000
/** Time after the last fault in which everything is to be well again, in milliseconds. */
const RECOVERY_MS = 6000
/** Time in which recovery is looked at, in milliseconds. */
const AFTER_MS = 2000
/** Longest time for accepted jobs to become whole after that, in milliseconds. */
const JOBS_MS = 30_000

/** Plays a seed and checks every promise. */
export async function runSeed (options: SeedOptions): Promise<SeedOutcome> {
  const { seed, lengthMs } = options
  const folder = path.join(options.folder, `seed-${seed}`)
  const random = createSoakRandom(seed)
  const plan = drawFaults(random, lengthMs)
  const fleet = await startSoakFleet({ instances: options.instances, targets: options.targets, folder, run: seed })
  try {
    await untilReady(fleet)
    const callers = startCallers(fleet, random, `s${seed}`)
    const faults = await injectFaults(fleet, plan)
    await pause(RECOVERY_MS)
    const recoveredAt = Date.now()
    await pause(AFTER_MS)
    await callers.finish()
    await callers.readJobs(JOBS_MS)
    const { attempts, jobs } = callers
    const broken = findBroken({ fleet, attempts, jobs, faults, recoveredAt })
    const whole = attempts.filter(({ answer }) => answer?.status === HTTP_OK && answer.isWhole).length
    if (broken.length === 0) await rm(folder, { recursive: true, force: true })
    return { seed, faults: faults.length, requests: attempts.length, whole, jobs: jobs.length, broken }
  } finally {
    await fleet.close()
  }
}

async function untilReady ({ instances }: SoakFleet): Promise<void> {
  const until = Date.now() + START_LIMIT_MS
  for (const { ip } of instances) {
    while (!await isReady(ip)) {
      if (Date.now() > until) throw new Error(`${ip} was not ready within ${START_LIMIT_MS} ms`)
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
