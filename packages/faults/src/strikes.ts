/** The faults of the matrix. */
import type { EngineRun } from './control'
import { BOUND_MS, LEASE_MS, type FaultBed } from './deploy'
import type { Moment } from './paths/types'
import { until } from './until'

/** Strikes while a path is held at a step. Resolves with what ends the fault after the path goes on. */
export type Strike = (bed: FaultBed, moment: Moment) => Promise<Heal>
export type Heal = () => Promise<void>

const HEALED: Heal = async () => undefined

/** Faults by name. */
export const STRIKES = {
  'kill carrier': killCarrier,
  'kill and restart carrier': killAndRestartCarrier,
  'freeze carrier past its lease': freezeCarrier,
  'stop carrier': stopCarrier,
  'cut carrier from platform': cutFromPlatform,
  'silence carrier to platform': silenceToPlatform,
  'lose platform answer': losePlatformAnswer,
  'lose platform call': losePlatformAnswer,
  'platform down': platformDown,
  'platform slow': platformSlow,
  'platform stale': platformStale,
  'instance list stale': staleInstances,
  'kill target': killTarget,
  'silence target connections': silenceTarget,
  'cut target connections': cutTarget,
  'target leaves': targetLeaves,
  'kill home': killHome,
  'freeze home': freezeHome,
  'kill carrier and platform down': both(killCarrier, platformDown),
  'kill target and carrier': both(killTarget, killCarrier),
  'kill target and platform down': both(killTarget, platformDown),
  'stop carrier and platform down': both(stopCarrier, platformDown),
  'target leaves and instance list stale': both(targetLeaves, staleInstances),
  'freeze carrier and platform slow': both(freezeCarrier, platformSlow),
  'restart carrier in an outage': restartInOutage,
  none: async () => HEALED
} satisfies Record<string, Strike>

export type StrikeName = keyof typeof STRIKES

async function killCarrier (bed: FaultBed, { carrier }: Moment): Promise<Heal> {
  await kill(bed, carrier!)
  return HEALED
}

async function killAndRestartCarrier (bed: FaultBed, { carrier }: Moment): Promise<Heal> {
  await kill(bed, carrier!)
  await bed.deployment.restart(carrier!)
  return HEALED
}

/** Stops the process for longer than its lease, then lets it go on as if nothing had been. */
async function freezeCarrier (bed: FaultBed, { carrier }: Moment): Promise<Heal> {
  const running = bed.process(carrier!)
  running.signal('SIGSTOP')
  return async () => {
    await pass(2 * LEASE_MS)
    running.signal('SIGCONT')
  }
}

async function stopCarrier (bed: FaultBed, { carrier }: Moment): Promise<Heal> {
  const running = bed.process(carrier!)
  running.signal('SIGTERM')
  return async () => {
    const code = await running.exited
    if (code !== 0) throw new Error(`${carrier} ended with status ${code}`)
  }
}

async function cutFromPlatform (bed: FaultBed, { carrier }: Moment): Promise<Heal> {
  return await setPlatformLink(bed, carrier!, 'cut')
}

async function silenceToPlatform (bed: FaultBed, { carrier }: Moment): Promise<Heal> {
  return await setPlatformLink(bed, carrier!, 'silent')
}

async function setPlatformLink (bed: FaultBed, carrier: string, mode: 'cut' | 'silent'): Promise<Heal> {
  const link = bed.deployment.links.get(`platform:${carrier}`)!
  link.set(mode)
  return async () => {
    await pass(2 * LEASE_MS)
    link.set('open')
  }
}

/** Drops the connection of the call that is held. Whether the call took effect depends on the gate. */
async function losePlatformAnswer (_bed: FaultBed, { gate }: Moment): Promise<Heal> {
  await gate!.release('drop')
  return HEALED
}

async function platformDown (bed: FaultBed): Promise<Heal> {
  await bed.platform.setFaults({ down: true })
  return async () => {
    await pass(LEASE_MS)
    await bed.platform.setFaults({ down: false })
  }
}

async function platformSlow (bed: FaultBed): Promise<Heal> {
  await bed.platform.setFaults({ slowMs: 250 })
  return async () => {
    await pass(LEASE_MS)
    await bed.platform.setFaults({ slowMs: 0 })
  }
}

async function platformStale (bed: FaultBed): Promise<Heal> {
  await bed.platform.setFaults({ staleReads: true })
  return async () => {
    await pass(LEASE_MS)
    await bed.platform.setFaults({ staleReads: false })
  }
}

async function staleInstances (bed: FaultBed): Promise<Heal> {
  await bed.platform.setFaults({ staleInstances: true })
  return async () => { await bed.platform.setFaults({ staleInstances: false }) }
}

async function killTarget (bed: FaultBed, { target }: Moment): Promise<Heal> {
  await kill(bed, target!)
  return async () => { await bed.deployment.restart(target!) }
}

async function silenceTarget (bed: FaultBed, { target }: Moment): Promise<Heal> {
  bed.deployment.links.get(target!)!.set('oldSilent')
  return HEALED
}

async function cutTarget (bed: FaultBed, { target }: Moment): Promise<Heal> {
  const link = bed.deployment.links.get(target!)!
  link.set('cut')
  return async () => { link.set('open') }
}

async function targetLeaves (bed: FaultBed, { target }: Moment): Promise<Heal> {
  await bed.target(target!).setFaults({ leaving: true })
  return HEALED
}

async function killHome (bed: FaultBed, moment: Moment): Promise<Heal> {
  await kill(bed, otherEntry(bed, moment))
  return HEALED
}

async function freezeHome (bed: FaultBed, moment: Moment): Promise<Heal> {
  const running = bed.process(otherEntry(bed, moment))
  running.signal('SIGSTOP')
  return async () => {
    await pass(2 * LEASE_MS)
    running.signal('SIGCONT')
  }
}

/** An entry instance that is home of some targets and does not carry the work itself. */
function otherEntry (bed: FaultBed, { carrier }: Moment): string {
  const entries = [...bed.deployment.processes.keys()].filter((id) => id.startsWith('entry-'))
  return entries.find((id) => id !== carrier)!
}

/** Starts the instance while the platform is down, so that it depends on its peers. */
async function restartInOutage (bed: FaultBed, moment: Moment): Promise<Heal> {
  const heal = await platformDown(bed)
  await killCarrier(bed, moment)
  await bed.deployment.restart(moment.carrier!)
  return heal
}

function both (first: Strike, second: Strike): Strike {
  return async (bed, moment) => {
    const heals = [await first(bed, moment), await second(bed, moment)]
    return async () => {
      // A target that starts again must find the platform.
      for (const heal of heals.reverse()) await heal()
    }
  }
}

async function kill (bed: FaultBed, id: string): Promise<void> {
  const running = bed.process(id)
  running.signal('SIGKILL')
  await running.exited
}

/** Lets the time of a fault pass; its length is part of the fault, and nothing is expected at its end. */
async function pass (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Finds the engine that runs a request now. */
export async function engineRunning (bed: FaultBed, matches: (content: string) => boolean): Promise<string> {
  return await until('an engine to run the work', async () => {
    for (const id of livingEngines(bed)) {
      const runs = await bed.target(id).engineRuns()
      if (runs.some((run) => run.outcome === 'running' && matches(run.content))) return id
    }
    return undefined
  }, BOUND_MS)
}

/** Engines whose processes live. */
export function livingEngines (bed: FaultBed): string[] {
  return bed.engines.filter((id) => {
    const { child } = bed.process(id)
    return child.exitCode === null && child.signalCode === null
  })
}

/** Sets switches on every engine that lives. */
export async function setEngines (bed: FaultBed, faults: Record<string, unknown>): Promise<void> {
  await Promise.all(livingEngines(bed).map(async (id) => await bed.target(id).setFaults(faults)))
}

/** Runs at every engine that lives. */
export async function engineRuns (bed: FaultBed): Promise<EngineRun[]> {
  return (await Promise.all(livingEngines(bed).map(async (id) => await bed.target(id).engineRuns()))).flat()
}
