/** The engine stand-in: combines state, fault injection and HTTP server. */
import type { Socket } from 'node:net'
import type { InstanceRecord } from 'pimentoplank/shared'
import { createRestartableServer, putInstance, removeInstance, type StandinServer } from '../shared'
import { createEngineApp } from './app'
import type { EngineFaults } from './faults'
import { createLoadReporter, type LoadReport } from './loadReport'
import { createModels, type EngineOrder, type Models, type OrderOutcome, type ReceivedOrder } from './models'
import { resolveEngineOptions, type EngineStandinOptions } from './options'
import { createPrefixCache, type PrefixCache } from './prefixCache'
import { createRunLog, type EngineRun, type RunLog } from './runLog'
import { createScheduler, type Scheduler } from './scheduler'

export interface EngineStandin {
  /**
   * Starts listening and registers the instance when a platform is configured.
   * After a crash, it restarts at the same address.
   */
  start: () => Promise<StandinServer>
  close: () => Promise<void>
  /** Closes every connection and stops listening, as if the process had crashed. */
  crash: () => Promise<void>
  setFaults: (faults: EngineFaults) => void
  runs: () => EngineRun[]
  orders: () => ReceivedOrder[]
  order: (req: EngineOrder) => OrderOutcome
  state: () => EngineState
  /** Returns the current load, without the delay of the load report. */
  load: () => { running: number, waiting: number }
  /** Returns the engine's entry in the instance list; throws before the first start. */
  record: () => InstanceRecord
}

export type EngineState = ReturnType<Models['state']> & { state: 'live' | 'leaving' }

/** State shared by the routes of the stand-in. */
export interface EngineInternals {
  scheduler: Scheduler
  models: Models
  cache: PrefixCache
  runs: RunLog
  faults: EngineFaults
  state: () => EngineState
  loadReport: () => LoadReport
  setFaults: (faults: EngineFaults) => void
  /** True when the connection must not carry any more data. */
  isSilent: (socket: Socket) => boolean
  /** Resolves as soon as the engine is not frozen. */
  thawed: () => Promise<void>
}

/** Creates a stand-in; call `start` to listen. */
export function createEngineStandin (options: EngineStandinOptions = {}): EngineStandin {
  const resolved = resolveEngineOptions(options)
  const { clock, slots } = resolved
  const stepTimings = {
    tokenMs: resolved.tokenMs,
    tokenSlopeMs: resolved.tokenSlopeMs,
    firstTokenMs: resolved.firstTokenMs,
    prefillTokenMs: resolved.prefillTokenMs
  }
  const faults: EngineFaults = {}
  const silentSockets = new WeakSet<Socket>()
  const runs = createRunLog()
  const cache = createPrefixCache(clock, resolved)
  const reporter = createLoadReporter(clock, slots)
  let frozenUntil = 0

  const scheduler = createScheduler({
    ...resolved,
    pace: stepTimings,
    cache,
    runs,
    crashes: (prompt) => typeof faults.crashOn === 'string' && prompt.includes(faults.crashOn),
    onCrash: resolved.onCrash ?? crash,
    holdAfterTokens: () => faults.holdAfterTokens ?? null,
    onLoad: (running, waiting) => reporter.note({ slots, running, waiting, cachedPrefixes: cache.size() })
  })
  const models = createModels({ ...resolved, usesModel: scheduler.usesModel })

  function setFaults (changes: EngineFaults): void {
    Object.assign(faults, changes)
    stepTimings.tokenMs = changes.tokenMs ?? stepTimings.tokenMs
    stepTimings.firstTokenMs = changes.firstTokenMs ?? stepTimings.firstTokenMs
    if (changes.silentStreams === true) for (const socket of server.sockets()) silentSockets.add(socket)
    if (changes.freezeMs !== undefined) {
      frozenUntil = clock.now() + changes.freezeMs
      scheduler.freezeUntil(frozenUntil)
    }
  }

  function readState (): EngineState {
    return { ...models.state(), state: faults.leaving === true ? 'leaving' : 'live' }
  }

  const server = createRestartableServer(createEngineApp({
    scheduler,
    models,
    cache,
    runs,
    faults,
    state: readState,
    loadReport: () => reporter.read(faults.loadLagMs ?? resolved.loadLagMs),
    setFaults,
    isSilent: (socket) => silentSockets.has(socket) || faults.silentStreams === 'all',
    thawed: async () => {
      while (clock.now() < frozenUntil) await clock.sleep(frozenUntil - clock.now())
    }
  }), options)

  function createRecord (): InstanceRecord {
    return {
      id: resolved.id,
      role: 'engine',
      service: resolved.service,
      address: server.address(),
      failureDomain: resolved.failureDomain,
      region: resolved.region,
      state: 'live',
      checksFencing: resolved.checksFencing
    }
  }

  async function start (): Promise<StandinServer> {
    const started = await server.start()
    if (resolved.platform !== undefined) await putInstance(resolved.platform, createRecord())
    return { ...started, close }
  }

  async function crash (): Promise<void> {
    scheduler.endAll('crashed')
    models.reset()
    cache.clear()
    await server.close()
  }

  async function close (): Promise<void> {
    scheduler.endAll('cancelled')
    await server.close()
    if (resolved.platform !== undefined) await removeInstance(resolved.platform, resolved.id).catch(() => undefined)
  }

  return {
    start,
    close,
    crash,
    setFaults,
    runs: runs.all,
    orders: models.orders,
    order: models.order,
    state: readState,
    load: scheduler.counts,
    record: createRecord
  }
}
