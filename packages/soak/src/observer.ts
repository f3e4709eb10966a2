/** Asks the instances of a run for what must not go back: directory, configuration in force, counters. */
import { setTimeout as pause } from 'node:timers/promises'
import { askDirectory, PORTS, send } from 'pimentoplank-platform/testing'
import { withTimeout } from './liveRequests'
import type { CounterRead, DirectoryRead, Observation, RouteProbe, SeenNumbers } from './orderChecks'
import type { SoakFleet, SoakInstance } from './soakFleet'

export type Observed = Pick<SeenNumbers, 'directories' | 'probes' | 'counters'>

export interface Observer {
  /** Stops; resolves to what was seen. */
  finish: () => Promise<Observed>
}

/** Pauses between two questions to one instance, in milliseconds. */
const DIRECTORY_INTERVAL_MS = 800
const PROBE_INTERVAL_MS = 1200
const COUNTERS_INTERVAL_MS = 4000
const TIMEOUT_MS = 2000
/** Counters in the text of the metrics. */
const COUNTER = /^(\w+_(?:total|count)(?:\{[^}]*\})?) (\d+(?:\.\d+)?)$/gm

/** Starts to ask every instance. */
export function startObserver (fleet: SoakFleet, run: string): Observer {
  const observed = { directories: [] as DirectoryRead[], probes: [] as RouteProbe[], counters: [] as CounterRead[] }
  const finished = new AbortController()
  let count = 0

  async function observe<Answer> (
    instance: SoakInstance, ask: () => Promise<Answer>
  ): Promise<(Observation & { answer: Answer }) | undefined> {
    const sentAt = Date.now()
    const answer = await withTimeout(ask(), TIMEOUT_MS)
    return answer === undefined ? undefined : { instance, sentAt, endedAt: Date.now(), answer }
  }

  async function readDirectory (instance: SoakInstance): Promise<void> {
    const read = await observe(instance, async () => await askDirectory(instance.ip, 'a'))
    if (read?.answer !== undefined) observed.directories.push({ ...read, addresses: read.answer })
  }

  /** Asks on the route of the newest version, or on that of the one before. */
  async function probe (instance: SoakInstance): Promise<void> {
    const newest = fleet.configurations.length
    const { version } = fleet.configurations[Math.max(0, newest - 1 - ++count % 2)]!
    const read = await observe(instance, async () => await send(instance, `/extra-${version}/${run}p${count}`, {
      id: `${run}p${count}`, deadlineMs: TIMEOUT_MS, shouldLeave: (body) => body !== ''
    }))
    if (read !== undefined) observed.probes.push({ ...read, version, status: read.answer.status })
  }

  async function readCounters (instance: SoakInstance): Promise<void> {
    const metrics = { address: `${instance.ip}:${PORTS.metrics}` }
    const read = await observe(instance, async () => await send(metrics, '/metrics', { method: 'GET' }))
    if (read?.answer.isWhole !== true) return
    const found = [...read.answer.body.matchAll(COUNTER)]
    observed.counters.push({ ...read, counters: new Map(found.map(([, name, value]) => [name!, Number(value)])) })
  }

  async function repeat (
    ask: (instance: SoakInstance) => Promise<void>, instance: SoakInstance, ms: number
  ): Promise<void> {
    while (!finished.signal.aborted) {
      await ask(instance)
      await pause(ms)
    }
  }

  const running = fleet.instances.flatMap((instance) => [
    repeat(readDirectory, instance, DIRECTORY_INTERVAL_MS),
    repeat(probe, instance, PROBE_INTERVAL_MS),
    repeat(readCounters, instance, COUNTERS_INTERVAL_MS)
  ])
  return {
    finish: async () => {
      finished.abort()
      await Promise.all(running)
      return observed
    }
  }
}
