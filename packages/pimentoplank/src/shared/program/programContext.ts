/** What every program sets up from its settings: log, metrics, platform, peers, followers, status and planned stop. */
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
  /** Kinds of objects to follow beside the common ones. */
  kinds?: readonly string[]
}

export interface StatusSource {
  isLeaving: () => boolean
  /** Brings the gauges up to date before they are read. */
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
  /** Services that every program offers its peers: feed and status. */
  peerRoutes: (router: ConnectRouter) => void
  /** Tells peers where this process listens, and logs the addresses. */
  announce: (addresses: { address: string, peerAddress: string }) => void
  /** Sets what the status page asks of this program. */
  setStatusSource: (source: StatusSource) => void
  /** Resolves when the process is told to stop, by a signal or by an operator. */
  stopRequested: Promise<void>
  close: () => Promise<void>
}

/** Sets up a program; fails when its certificates can't be read. */
export function createProgramContext (
  settings: CommonSettings,
  options: ProgramContextOptions
): ResultAsync<ProgramContext, Error> {
  return loadPeerSecurity(settings.peers).map((security) => setUp(settings, options, security))
}

function setUp (settings: CommonSettings, options: ProgramContextOptions, security: PeerSecurity): ProgramContext {
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
    setStatusSource: (next) => { source = next },
    stopRequested: aborted(AbortSignal.any([createStopSignal(), drain.signal])),
    close: async () => {
      await followers.close()
      transports.close()
      await platform.close()
      await metrics.close()
    }
  }
}

async function aborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
