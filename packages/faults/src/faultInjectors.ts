/** Fault injectors of the matrix, and helpers for the engines of a deployment. */
import type { EngineRun } from './control'
import { MAX_WAIT_MS, LEASE_MS, type FaultTestbed } from './deploy'
import type { HeldStep } from './paths/types'
import { waitFor } from './waitFor'

/** Injects a fault while a path is held at a step; resolves with a function that ends it once the path continues. */
export type FaultInjector = (testbed: FaultTestbed, heldStep: HeldStep) => Promise<Heal>
export type Heal = () => Promise<void>

/** Number of tokens after which the streams of a target break off; more than those of a stream that is held. */
const CUT_AFTER_TOKENS = 5
const NOTHING_TO_HEAL: Heal = async () => undefined

/** Injectors by fault name. */
export const FAULT_INJECTORS = {
  'kill carrier': killCarrier,
  'kill and restart carrier': killAndRestartCarrier,
  'freeze carrier past its lease': freezeCarrier,
  'stop carrier': stopCarrier,
  'cut carrier from platform': cutPlatformLink,
  'silence carrier to platform': silencePlatformLink,
  'lose platform answer': losePlatformAnswer,
  'lose platform call': losePlatformAnswer,
  'platform down': takePlatformDown,
  'platform slow': slowPlatformDown,
  'platform stale': servePlatformStaleReads,
  'instance list stale': serveStaleInstances,
  'kill target': killTarget,
  'silence target connections': silenceTarget,
  'cut target connections': cutTarget,
  'close target streams inside an event': breakOffTargetStreams('close'),
  'reset target streams inside an event': breakOffTargetStreams('reset'),
  'target leaves': announceTargetLeaving,
  'kill home': killOwner,
  'freeze home': freezeOwner,
  'kill carrier and platform down': combine(killCarrier, takePlatformDown),
  'kill target and carrier': combine(killTarget, killCarrier),
  'kill target and platform down': combine(killTarget, takePlatformDown),
  'stop carrier and platform down': combine(stopCarrier, takePlatformDown),
  'target leaves and instance list stale': combine(announceTargetLeaving, serveStaleInstances),
  'freeze carrier and platform slow': combine(freezeCarrier, slowPlatformDown),
  'restart carrier in an outage': restartInOutage,
  none: async () => NOTHING_TO_HEAL
} satisfies Record<string, FaultInjector>

export type FaultName = keyof typeof FAULT_INJECTORS

async function killCarrier (testbed: FaultTestbed, { carrier }: HeldStep): Promise<Heal> {
  await kill(testbed, carrier!)
  return NOTHING_TO_HEAL
}

async function killAndRestartCarrier (testbed: FaultTestbed, { carrier }: HeldStep): Promise<Heal> {
  await kill(testbed, carrier!)
  await testbed.deployment.restart(carrier!)
  return NOTHING_TO_HEAL
}

/** Freezes the process for longer than its lease, then resumes it. */
async function freezeCarrier (testbed: FaultTestbed, { carrier }: HeldStep): Promise<Heal> {
  const running = testbed.process(carrier!)
  running.signal('SIGSTOP')
  return async () => {
    await waitForFault(2 * LEASE_MS)
    running.signal('SIGCONT')
  }
}

async function stopCarrier (testbed: FaultTestbed, { carrier }: HeldStep): Promise<Heal> {
  const running = testbed.process(carrier!)
  running.signal('SIGTERM')
  return async () => {
    const code = await running.exited
    if (code !== 0) throw new Error(`${carrier} exited with status ${code} instead of 0`)
  }
}

async function cutPlatformLink (testbed: FaultTestbed, { carrier }: HeldStep): Promise<Heal> {
  return await setPlatformLink(testbed, carrier!, 'cut')
}

async function silencePlatformLink (testbed: FaultTestbed, { carrier }: HeldStep): Promise<Heal> {
  return await setPlatformLink(testbed, carrier!, 'silent')
}

async function setPlatformLink (testbed: FaultTestbed, carrier: string, mode: 'cut' | 'silent'): Promise<Heal> {
  const link = testbed.deployment.links.get(`platform:${carrier}`)!
  link.setMode(mode)
  return async () => {
    await waitForFault(2 * LEASE_MS)
    link.setMode('open')
  }
}

/** Closes the connection of the held call; whether the call takes effect depends on the gate. */
async function losePlatformAnswer (_testbed: FaultTestbed, { gate }: HeldStep): Promise<Heal> {
  await gate!.release('drop')
  return NOTHING_TO_HEAL
}

async function takePlatformDown (testbed: FaultTestbed): Promise<Heal> {
  await testbed.platform.setFaults({ down: true })
  return async () => {
    await waitForFault(LEASE_MS)
    await testbed.platform.setFaults({ down: false })
  }
}

async function slowPlatformDown (testbed: FaultTestbed): Promise<Heal> {
  await testbed.platform.setFaults({ slowMs: 250 })
  return async () => {
    await waitForFault(LEASE_MS)
    await testbed.platform.setFaults({ slowMs: 0 })
  }
}

async function servePlatformStaleReads (testbed: FaultTestbed): Promise<Heal> {
  await testbed.platform.setFaults({ staleReads: true })
  return async () => {
    await waitForFault(LEASE_MS)
    await testbed.platform.setFaults({ staleReads: false })
  }
}

async function serveStaleInstances (testbed: FaultTestbed): Promise<Heal> {
  await testbed.platform.setFaults({ staleInstances: true })
  return async () => { await testbed.platform.setFaults({ staleInstances: false }) }
}

async function killTarget (testbed: FaultTestbed, { target }: HeldStep): Promise<Heal> {
  await kill(testbed, target!)
  return async () => { await testbed.deployment.restart(target!) }
}

async function silenceTarget (testbed: FaultTestbed, { target }: HeldStep): Promise<Heal> {
  testbed.deployment.links.get(target!)!.setMode('oldSilent')
  return NOTHING_TO_HEAL
}

async function cutTarget (testbed: FaultTestbed, { target }: HeldStep): Promise<Heal> {
  const link = testbed.deployment.links.get(target!)!
  link.setMode('cut')
  return async () => { link.setMode('open') }
}

/** Cuts each stream of the target inside an event after a few more tokens. */
function breakOffTargetStreams (cutInEventBy: 'close' | 'reset'): FaultInjector {
  return async (testbed, { target }) => {
    await testbed.target(target!).setFaults({ cutAfterTokens: CUT_AFTER_TOKENS, cutInEventBy })
    return async () => { await testbed.target(target!).setFaults({ cutAfterTokens: 0, cutInEventBy: null }) }
  }
}

async function announceTargetLeaving (testbed: FaultTestbed, { target }: HeldStep): Promise<Heal> {
  await testbed.target(target!).setFaults({ leaving: true })
  return NOTHING_TO_HEAL
}

async function killOwner (testbed: FaultTestbed, heldStep: HeldStep): Promise<Heal> {
  await kill(testbed, findOtherEntry(testbed, heldStep))
  return NOTHING_TO_HEAL
}

async function freezeOwner (testbed: FaultTestbed, heldStep: HeldStep): Promise<Heal> {
  const running = testbed.process(findOtherEntry(testbed, heldStep))
  running.signal('SIGSTOP')
  return async () => {
    await waitForFault(2 * LEASE_MS)
    running.signal('SIGCONT')
  }
}

/** Finds an entry instance that owns some targets but does not carry the work itself. */
function findOtherEntry (testbed: FaultTestbed, { carrier }: HeldStep): string {
  const entries = [...testbed.deployment.processes.keys()].filter((id) => id.startsWith('entry-'))
  return entries.find((id) => id !== carrier)!
}

/** Restarts the instance while the platform is down, so that it depends on its peers. */
async function restartInOutage (testbed: FaultTestbed, heldStep: HeldStep): Promise<Heal> {
  const heal = await takePlatformDown(testbed)
  await killCarrier(testbed, heldStep)
  await testbed.deployment.restart(heldStep.carrier!)
  return heal
}

function combine (first: FaultInjector, second: FaultInjector): FaultInjector {
  return async (testbed, heldStep) => {
    const heals = [await first(testbed, heldStep), await second(testbed, heldStep)]
    return async () => {
      // In reverse order, because a restarting target needs the platform.
      for (const heal of heals.reverse()) await heal()
    }
  }
}

async function kill (testbed: FaultTestbed, id: string): Promise<void> {
  const running = testbed.process(id)
  running.signal('SIGKILL')
  await running.exited
}

/** Waits for the duration of a fault; it is part of the fault and stands for no expected event. */
async function waitForFault (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Waits for an engine that is running a matching request; resolves with its id. */
export async function findRunningEngine (
  testbed: FaultTestbed,
  matches: (content: string) => boolean
): Promise<string> {
  return await waitFor('an engine to run the work', async () => {
    for (const id of getRunningEngines(testbed)) {
      const runs = await testbed.target(id).getEngineRuns()
      if (runs.some((run) => run.outcome === 'running' && matches(run.content))) return id
    }
    return undefined
  }, MAX_WAIT_MS)
}

/** Lists the engines whose processes are running. */
export function getRunningEngines (testbed: FaultTestbed): string[] {
  return testbed.engines.filter((id) => {
    const { child } = testbed.process(id)
    return child.exitCode === null && child.signalCode === null
  })
}

/** Sets fault switches on every running engine. */
export async function setEngineFaults (testbed: FaultTestbed, faults: Record<string, unknown>): Promise<void> {
  await Promise.all(getRunningEngines(testbed).map(async (id) => await testbed.target(id).setFaults(faults)))
}

/** Gets the recorded runs of every running engine. */
export async function getEngineRuns (testbed: FaultTestbed): Promise<EngineRun[]> {
  return (await Promise.all(
    getRunningEngines(testbed).map(async (id) => await testbed.target(id).getEngineRuns())
  )).flat()
}
