/** Dependencies and context shared by the modules of a batch runner. */
import type {
  ChunkOwner, Clock, ConfigView, EngineClient, MembershipView, Metrics, Log, ObjectFeed, PlatformClient, Quarantine,
  SlotClient
} from '../shared'
import type { JobStates } from './jobStates'
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
  /** Returns a number in [0, 1); defaults to `Math.random`. */
  random?: () => number
}

export interface RunnerContext extends RunnerDeps {
  random: () => number
  settings: RunnerSettings
  /** Id of this instance. */
  instance: string
  /** Returns the lease under which this process claims chunks; undefined while it does not hold one. */
  getOwner: () => ChunkOwner | undefined
  /** True while the lease's last renewal is more recent than the lease's length. */
  isLeaseHeld: () => boolean
  /** State of jobs as read from the platform. */
  jobStates: JobStates
}
