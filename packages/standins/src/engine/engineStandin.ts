/** The engine stand-in: combines state, fault injection and HTTP server. */
import type { Socket } from 'node:net'
import type { InstanceRecord } from 'pimentoplank/shared'
import { createRestartableServer, registerInstance, deregisterInstance, type StandinServer } from '../shared'
import { createEngineApp } from './app'
import type { EngineFaults } from './faults'
import { createLoadReporter, type LoadReport } from './loadReport'
import { createModelRegistry, type EngineOrder, type ModelRegistry, type OrderOutcome, type ReceivedOrder } from './modelRegistry'
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
  /** Replaces the version of the software, as an update between a crash and a restart does. */
  setSoftwareVersion: (version: string | undefined) => void
  getRuns: () => EngineRun[]
  getOrders: () => ReceivedOrder[]
  applyOrder: (req: EngineOrder) => OrderOutcome
  getState: () => EngineState
  /** Returns the current load, without the delay of the load report. */
  getLoad: () => { running: number, waiting: number }
  /** Returns the engine's entry in the instance list; throws before the first start. */
  getInstanceRecord: () => InstanceRecord
}

export type EngineState = ReturnType<ModelRegistry['getState']> & { state: 'live' | 'leaving' }

/** State shared by the routes of the stand-in. */
export interface EngineInternals {
  scheduler: Scheduler
  models: ModelRegistry
  cache: PrefixCache
  runLog: RunLog
  faults: EngineFaults
  getState: () => EngineState
  getLoadReport: () => LoadReport
  setFaults: (faults: EngineFaults) => void
  /** True when the connection must not carry any more data. */
  isSilent: (socket: Socket) => boolean
  getSoftwareVersion: () => string | undefined
  /** Resolves as soon as the engine is not frozen. */
  waitUntilThawed: () => Promise<void>
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
  let { softwareVersion } = resolved

  const scheduler = createScheduler({
    ...resolved,
    timings: stepTimings,
    cache,
    runs,
    shouldCrash: (prompt) => typeof faults.crashOn === 'string' && prompt.includes(faults.crashOn),
    onCrash: resolved.onCrash ?? crash,
    getPauseAfterTokens: () => faults.holdAfterTokens ?? null,
    onToken: (ownTokens) => {
      if (ownTokens === faults.silence?.afterTokens) freeze(faults.silence.ms)
    },
    onLoadChange: (running, waiting) => reporter.record({ slots, running, waiting, cachedPrefixes: cache.getSize() })
  })
  const models = createModelRegistry({ ...resolved, isModelInUse: scheduler.isModelInUse })

  function setFaults (changes: EngineFaults): void {
    Object.assign(faults, changes)
    stepTimings.tokenMs = changes.tokenMs ?? stepTimings.tokenMs
    stepTimings.firstTokenMs = changes.firstTokenMs ?? stepTimings.firstTokenMs
    if (changes.silentStreams === true) for (const socket of server.getSockets()) silentSockets.add(socket)
    if (changes.freezeMs !== undefined) freeze(changes.freezeMs)
  }

  function freeze (ms: number): void {
    frozenUntil = clock.now() + ms
    scheduler.freezeUntil(frozenUntil)
  }

  function readState (): EngineState {
    return { ...models.getState(), state: faults.leaving === true ? 'leaving' : 'live' }
  }

  const server = createRestartableServer(createEngineApp({
    scheduler,
    models,
    cache,
    runLog: runs,
    faults,
    getState: readState,
    getLoadReport: () => reporter.getReport(faults.loadLagMs ?? resolved.loadLagMs),
    setFaults,
    isSilent: (socket) => silentSockets.has(socket) || faults.silentStreams === 'all',
    getSoftwareVersion: () => softwareVersion,
    waitUntilThawed: async () => {
      while (clock.now() < frozenUntil) await clock.sleep(frozenUntil - clock.now())
    }
  }), options)

  function createRecord (): InstanceRecord {
    return {
      id: resolved.id,
      role: 'engine',
      service: resolved.service,
      address: server.getAddress(),
      failureDomain: resolved.failureDomain,
      region: resolved.region,
      state: 'live',
      checksFencing: resolved.checksFencing,
      softwareVersion
    }
  }

  async function start (): Promise<StandinServer> {
    const started = await server.start()
    if (resolved.platform !== undefined) await registerInstance(resolved.platform, createRecord())
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
    if (resolved.platform !== undefined) await deregisterInstance(resolved.platform, resolved.id).catch(() => undefined)
  }

  return {
    start,
    close,
    crash,
    setFaults,
    setSoftwareVersion: (version) => { softwareVersion = version },
    getRuns: runs.getRuns,
    getOrders: models.getOrders,
    applyOrder: models.applyOrder,
    getState: readState,
    getLoad: scheduler.getCounts,
    getInstanceRecord: createRecord
  }
}
