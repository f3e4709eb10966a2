/** Components that every program creates from its settings: log, metrics, clients, status service and shutdown. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { ResultAsync } from 'neverthrow'
import { createSystemClock, type Clock } from '../clock'
import type { Peer } from '../feed'
import { createFollowers, type Followers } from '../followers'
import { createLog, type Log } from '../logging'
import { createMetrics, type Metrics } from '../metrics'
import { createPlatformClient, type PlatformClient } from '../platform'
import { createStopSignal } from '../process'
import { createPeerTransports, loadPeerSecurity, type PeerSecurity, type PeerTransports } from '../rpc'
import type { CommonSettings } from '../settings'
import { createStatusRoutes } from '../status'

export interface ProgramContextOptions {
  /** Name of the program. */
  program: string
  /** Kinds of objects to follow in addition to the common ones. */
  kinds?: readonly string[]
}

/** Values of a program that the status service reports. */
export interface StatusSource {
  isLeaving: () => boolean
  /** Updates the gauges before they are read. */
  refreshGauges?: () => void
}

export interface ProgramContext {
  clock: Clock
  log: Log
  metrics: Metrics
  platform: PlatformClient
  security: PeerSecurity
  transports: PeerTransports
  followers: Followers
  /** Registers the services that every program offers its peers: feed and status. */
  peerRoutes: (router: ConnectRouter) => void
  /** Publishes the peer address of this process to its peers, and logs both addresses. */
  announce: (addresses: { address: string, peerAddress: string }) => void
  /** Sets where the status service gets the values of this program. */
  setStatusSource: (source: StatusSource) => void
  /** Resolves when a signal or an operator requests a shutdown. */
  stopRequested: Promise<void>
  close: () => Promise<void>
}

/** Creates the components; fails when the TLS certificates can't be read. */
export function createProgramContext (
  settings: CommonSettings,
  options: ProgramContextOptions
): ResultAsync<ProgramContext, Error> {
  return loadPeerSecurity(settings.peers).map((security) => createContext(settings, options, security))
}

function createContext (
  settings: CommonSettings,
  options: ProgramContextOptions,
  security: PeerSecurity
): ProgramContext {
  const { instance } = settings
  const clock = createSystemClock()
  const log = createLog({ name: options.program, instance: instance.id, level: settings.log.level })
  const metrics = createMetrics({ ...settings.metrics, tags: { instance: instance.id } })
  const platform = createPlatformClient({ ...settings.platform, instance: instance.id, metrics, clock })
  const transports = createPeerTransports({ security })
  const self: Peer = { id: instance.id, failureDomain: instance.failureDomain }
  const followers = createFollowers({
    platform, transports, instance: self, seeds: settings.peers.seeds, kinds: options.kinds, clock, metrics, log
  })
  const { config } = followers
  const drain = new AbortController()
  let source: StatusSource = { isLeaving: () => false }
  const status = createStatusRoutes({
    instance: instance.id,
    program: options.program,
    metrics,
    config,
    isLeaving: () => source.isLeaving(),
    refreshGauges: () => source.refreshGauges?.(),
    drain: () => drain.abort()
  })
  followers.ready().then(() => log.info({ sequence: config.current().sequence }, 'configuration read'), () => undefined)

  return {
    clock,
    log,
    metrics,
    platform,
    security,
    transports,
    followers,
    peerRoutes: (router) => {
      followers.routes(router)
      status(router)
    },
    announce: ({ address, peerAddress }) => {
      self.peerAddress = peerAddress
      log.info({ address, peerAddress }, 'listening')
    },
    setStatusSource: (newSource) => { source = newSource },
    stopRequested: waitForAbort(AbortSignal.any([createStopSignal(), drain.signal])),
    close: async () => {
      await followers.close()
      transports.close()
      await platform.close()
      await metrics.close()
    }
  }
}

async function waitForAbort (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
