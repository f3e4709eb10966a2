/** A relay instance as its process uses it, and what it is created from. */
import type { Result } from 'neverthrow'
import type { Clock, createConnector, Log, MemoryBudget, Metrics, PeerSecurity, PlatformClient, Random } from '../shared'
import type { CallerProtocol, Directory, RelayHandler } from './callers'
import type { JobApi } from './jobs'
import type { RelayConfig, Target, TargetProtocol } from './model'
import type { RouteTable } from './routing'
import type { RelaySettings } from './settings'

/** Codecs for the formats that a deployment's platform, callers and targets use. */
export interface RelayProtocols {
  callers: CallerProtocol
  targets: TargetProtocol
  /** Object that holds the configuration. */
  config: { kind: string, name: string, decode: (value: unknown) => Result<RelayConfig, Error> }
  /** Objects in which targets are registered. */
  targetEntries: { kind: string, decode: (id: string, value: unknown) => Target | undefined }
}

export interface RelayDeps {
  platform: PlatformClient
  protocols: RelayProtocols
  security: PeerSecurity
  metrics: Metrics
  log: Log
  clock?: Clock
  random?: Random
  /** Creates the function that establishes connections to targets; replaced by tests that cut an instance off. */
  connectors?: typeof createConnector
}

export interface Relay {
  handle: RelayHandler
  directory: Directory
  jobs: JobApi
  /** Budget for what callers make this instance keep. */
  memory: MemoryBudget
  /** Counts a call of a caller as in flight, so that a shutdown waits for it; returns the function that ends it. */
  trackRequest: () => () => void
  /** True while this instance accepts requests of callers. */
  isReady: () => boolean
  table: () => RouteTable | undefined
  /** Applies changed settings; returns the names of those that require a restart. */
  applySettings: (settings: RelaySettings) => string[]
  /** Shuts down gracefully: leaves the directory, hands jobs over, waits for running requests, then closes. */
  stop: () => Promise<void>
  /** Closes at once, without handing jobs over. */
  close: () => Promise<void>
}
