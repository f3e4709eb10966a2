/** What the parts of a batch runner share. */
import type {
  ChunkOwner, Clock, ConfigView, EngineClient, MembershipView, Metrics, Log, ObjectFeed, PlatformClient, Quarantine,
  SlotClient
} from '../shared'
import type { RunnerSettings } from './settings'

export interface RunnerDeps {
  platform: PlatformClient
  feed: ObjectFeed
  slots: SlotClient
  engines: EngineClient
  membership: MembershipView
  config: ConfigView
  quarantine: Quarantine
  clock: Clock
  metrics: Metrics
  log: Log
  /** Number from 0 to below 1; defaults to `Math.random`. */
  random?: () => number
}

export interface RunnerContext extends RunnerDeps {
  random: () => number
  settings: RunnerSettings
  /** Id of this instance. */
  instance: string
  /** The lease that claims refer to; undefined while this process does not hold it. */
  owner: () => ChunkOwner | undefined
  /** True while the lease is held for sure. */
  isLeaseHeld: () => boolean
}
