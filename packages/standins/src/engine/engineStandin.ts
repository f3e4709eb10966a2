/** The engine stand-in: state, fault switches and server in one. */
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
  /** Starts listening, and lists itself when it knows the platform. Works again after a crash, at the same address. */
  start: () => Promise<StandinServer>
  close: () => Promise<void>
  /** Drops every connection and stops listening, as a process that ended. */
  crash: () => Promise<void>
  setFaults: (faults: EngineFaults) => void
  runs: () => EngineRun[]
  orders: () => ReceivedOrder[]
  order: (order: EngineOrder) => OrderOutcome
  state: () => EngineState
  /** The load now, without lag. */
  load: () => { running: number, waiting: number }
  /** This engine's entry of the instance list. */
  record: () => InstanceRecord
}

export type EngineState = ReturnType<Models['state']> & { state: 'live' | 'leaving' }

/** What the routes of the stand-in work on. */
export interface EngineInternals {
  scheduler: Scheduler
  models: Models
  cache: PrefixCache
  runs: RunLog
  faults: EngineFaults
  state: () => EngineState
  loadReport: () => LoadReport
  setFaults: (faults: EngineFaults) => void
  /** True when nothing may be sent on a connection. */
  isSilent: (socket: Socket) => boolean
  /** Resolves when the engine is not frozen. */
  thawed: () => Promise<void>
}

/** Creates a stand-in that does not listen yet. */
export function createEngineStandin (options: EngineStandinOptions = {}): EngineStandin {
  const resolved = resolveEngineOptions(options)
  const { clock, slots } = resolved
  const pace = {
    tokenMs: resolved.tokenMs,
    tokenSlopeMs: resolved.tokenSlopeMs,
    firstTokenMs: resolved.firstTokenMs,
    prefillTokenMs: resolved.prefillTokenMs
  }
  const faults: EngineFaults = {}
  const silenced = new WeakSet<Socket>()
  const runs = createRunLog()
  const cache = createPrefixCache(clock, resolved)
  const reporter = createLoadReporter(clock, slots)
  let frozenUntil = 0

  const scheduler = createScheduler({
    ...resolved,
    pace,
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
    pace.tokenMs = changes.tokenMs ?? pace.tokenMs
    pace.firstTokenMs = changes.firstTokenMs ?? pace.firstTokenMs
    if (changes.silentStreams === true) for (const socket of server.sockets()) silenced.add(socket)
    if (changes.freezeMs !== undefined) {
      frozenUntil = clock.now() + changes.freezeMs
      scheduler.freezeUntil(frozenUntil)
    }
  }

  function state (): EngineState {
    return { ...models.state(), state: faults.leaving === true ? 'leaving' : 'live' }
  }

  const server = createRestartableServer(createEngineApp({
    scheduler,
    models,
    cache,
    runs,
    faults,
    state,
    loadReport: () => reporter.read(faults.loadLagMs ?? resolved.loadLagMs),
    setFaults,
    isSilent: (socket) => silenced.has(socket) || faults.silentStreams === 'all',
    thawed: async () => {
      while (clock.now() < frozenUntil) await clock.sleep(frozenUntil - clock.now())
    }
  }), options)

  function record (): InstanceRecord {
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
    if (resolved.platform !== undefined) await putInstance(resolved.platform, record())
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
    state,
    load: scheduler.counts,
    record
  }
}
