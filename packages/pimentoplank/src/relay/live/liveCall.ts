/** Types of the relay of one live request. */
import type { Clock, Log, Metrics } from '../../shared'
import type { LiveOpenEnds } from '../decisions'
import type { AnswerEnding, Exchange } from '../exchange'
import type { LoadView } from '../load'
import type { CallerRequest, Route } from '../model'
import type { InstancePaths } from '../paths'
import type { StreamBinder, StreamVersionFinder } from '../streams'
import type { CallerReply } from './callerReply'
import type { CrashTracker } from './crashTracker'
import type { OpenRequests } from './openRequests'
import type { SilenceDetector } from './silenceDetector'
import type { SlotScheduler } from './slotScheduler'

export interface LiveCall {
  request: CallerRequest
  route: Route
  service: string
  /** When the request was received completely, on the monotonic clock. */
  arrivedAt: number
  /** True when the caller was refused before and retries. */
  isReturning: boolean
  /** True for a request that tests whether the parts of its prompt still crash targets; it is not retried. */
  isProbe: boolean
  reply: CallerReply
}

export interface RelayRules {
  /**
   * Timeout for the first event of a stream, after which a resumable stream moves to another target, as a share of the
   * target latency.
   */
  firstEventShare: number
  /** The same between events, as a share of the target gap. */
  gapShare: number
}

export interface RelayDeps {
  slotScheduler: SlotScheduler
  exchange: Exchange
  loads: LoadView
  paths: Pick<InstancePaths, 'isCutOff' | 'isDirectUsable' | 'onLost' | 'recordSilent'>
  silenceDetector: SilenceDetector
  streamBinder: StreamBinder
  streamVersionFinder: StreamVersionFinder
  crashes: CrashTracker
  /** Ends when this instance has to; requests that are left are refused, or cut if their answer has begun. */
  openRequests: Pick<OpenRequests, 'add' | 'isEnded'>
  rules: RelayRules
  clock: Clock
  metrics: Metrics
  log: Log
}

/** State of a request across its attempts. */
export interface Progress extends LiveOpenEnds {
  runs: number
  refusals: number
  /** Id of the last event that was sent to the caller. */
  lastEventId: number | undefined
  /** Software version of the targets at which the request goes on; undefined while it may run at any. */
  version?: string
  /** Targets that may have run the request. */
  excluded: Set<string>
  /** Targets that were given up only for their silence; used again where there are no others. */
  silentTargets: Set<string>
  /** Targets that have refused the request since the last pause. */
  refusedBy: Set<string>
  /** How the last response ended; undefined if there was none. */
  ending?: AnswerEnding & { events: number, partialEventBytes: number }
}
