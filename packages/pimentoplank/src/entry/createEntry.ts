/** Assembles an entry instance from its parts. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Hono } from 'hono'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import {
  createEngineClient, createMetrics, createPeerServer, createPeerTransports, createQuarantine, createSystemClock,
  createTargetAgent, serveHttp,
  type Clock, type ConfigView, type EngineClient, type Log, type MembershipView, type Metrics, type ObjectFeed,
  type PeerSecurity, type PeerTransports, type PlatformClient, type SlotClient
} from '../shared'
import { createAccountLimits } from './api/accountLimits'
import { createCallerApi } from './api'
import type { EntryEnv } from './context'
import { createDirectory } from './directory'
import { createIntentRegistry, createOwnerQuery, registerOnceService } from './once'
import { createRetryBudget } from './retries'
import type { EntrySettings } from './settings'
import { createShutdownController, type ShutdownStage } from './stopping'

/** Time-out of a resumed stream, as a multiple of the time-out between tokens. */
const ATTACH_TIMEOUT_GAPS = 2

export interface EntryDeps {
  platform: PlatformClient
  config: ConfigView
  membership: MembershipView
  feed: Pick<ObjectFeed, 'objects' | 'offer'>
  slots: SlotClient
  security: PeerSecurity
  log: Log
  /** Created from the settings when absent. */
  engine?: EngineClient
  transports?: PeerTransports
  metrics?: Metrics
  clock?: Clock
  /** Returns the targets that have loaded a model; undefined when unknown. */
  targetsServing?: (model: string) => ReadonlySet<string> | undefined
  /** Registers further services for peers. */
  peerRoutes?: (router: ConnectRouter) => void
  /** Further routes for callers, behind authentication. */
  extraRoutes?: Hono<EntryEnv>
  /** Called when a graceful shutdown begins. */
  onLeave?: () => Promise<void>
}

export interface Entry {
  /** Address that callers connect to. */
  address: string
  /** Address that peers connect to. */
  peerAddress: string
  stage: () => ShutdownStage
  /** Shuts down gracefully: leaves the directory, serves late requests, finishes running ones, and closes. */
  stop: () => Promise<void>
  /** Closes immediately, as a crash would. */
  close: () => Promise<void>
}

/** Starts an entry instance; fails when one of its addresses is in use. */
export function createEntry (settings: EntrySettings, deps: EntryDeps): ResultAsync<Entry, Error> {
  return new ResultAsync(start(settings, deps))
}

async function start (settings: EntrySettings, deps: EntryDeps): Promise<Result<Entry, Error>> {
  const { config, feed, log, membership, platform, security, slots } = deps
  const clock = deps.clock ?? createSystemClock()
  const metrics = deps.metrics ?? createMetrics(settings.metrics)
  const transports = deps.transports ?? createPeerTransports({ security })
  const engine = deps.engine ?? createEngineClient({ ...settings.streams, clock })
  const agent = createTargetAgent()
  let peerAddress = ''

  const intentRegistry = createIntentRegistry({
    platform,
    getOwnAddress: () => peerAddress,
    queryOwner: createOwnerQuery(transports),
    ...settings.once,
    clock,
    metrics,
    log
  })
  const shutdownController = createShutdownController({
    directoryMaxAgeMs: settings.directory.maxAgeMs,
    graceMs: settings.stop.graceMs,
    onLeave: deps.onLeave ?? (async () => undefined),
    clock,
    log
  })
  const directory = createDirectory({
    self: settings.instance,
    settings: settings.directory,
    membership,
    isLeaving: () => shutdownController.getStage() !== 'serving'
  })
  const app = createCallerApi({
    settings,
    config,
    membership,
    slots,
    engine,
    agent,
    once: intentRegistry,
    clock,
    metrics,
    log,
    shutdown: shutdownController,
    directory,
    extraRoutes: deps.extraRoutes,
    targetsServing: deps.targetsServing,
    limits: createAccountLimits(clock),
    budget: createRetryBudget({ ratio: settings.retries.budgetRatio, reserve: settings.retries.budgetReserve }),
    quarantine: createQuarantine({ platform, feed, clock, metrics, log, keepMs: settings.quarantine.keepMs }),
    maxAttempts: settings.retries.maxAttempts,
    attachTimeoutMs: settings.streams.tokenGapTimeoutMs * ATTACH_TIMEOUT_GAPS
  })

  const peers = await createPeerServer({
    ...settings.peers.listen,
    security,
    routes: (router) => {
      registerOnceService(router, intentRegistry)
      deps.peerRoutes?.(router)
    }
  })
  if (peers.isErr()) return err(peers.error)
  peerAddress = peers.value.address
  const callers = await serveHttp(app, settings.listen)
  if (callers.isErr()) {
    await peers.value.close()
    return err(callers.error)
  }
  const { server } = callers.value
  // Detects callers that disappeared without closing their connection.
  server.on('connection', (socket) => socket.setKeepAlive(true, settings.streams.callerStallTimeoutMs))

  async function close (): Promise<void> {
    intentRegistry.close()
    await callers._unsafeUnwrap().close()
    await peers._unsafeUnwrap().close()
    await Promise.all([engine.close(), agent.close(), slots.close()])
    if (deps.transports === undefined) transports.close()
    if (deps.metrics === undefined) await metrics.close()
  }

  async function stop (): Promise<void> {
    const startedAt = clock.now()
    await shutdownController.stop()
    const remainingMs = settings.stop.graceMs - (clock.now() - startedAt)
    const limit = new AbortController()
    const timer = setTimeout(() => limit.abort(), Math.max(MIN_SETTLE_TIME_MS, remainingMs))
    await intentRegistry.waitUntilSettled(limit.signal)
    clearTimeout(timer)
    await close()
  }

  return ok({ address: callers.value.address, peerAddress, stage: shutdownController.getStage, stop, close })
}

/** Least time to record pending outcomes during a shutdown. */
const MIN_SETTLE_TIME_MS = 5000
