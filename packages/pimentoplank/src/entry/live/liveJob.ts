/** One live request on its way through the fleet. */
import type { ResultAsync } from 'neverthrow'
import type {
  Clock, EngineClient, EngineErrorKind, EngineEvent, Log, MembershipView, Metrics, Outcome, Quarantine, RefusalError,
  RetryReason, SlotClient
} from '../../shared'
import type { RetryBudget } from '../retries'

export interface LiveJob {
  requestId: string
  kind: 'chat' | 'completion'
  body: Readonly<Record<string, unknown>>
  service: string
  model: string
  account: string
  weight: number
  /** Time that the caller waits, in milliseconds. */
  timeoutMs: number
  /** Hash of the start of the prompt. */
  prefixHash: bigint
  /** Identity of the content, for the quarantine. */
  contentHash: string
  /** False for work that may run at most once. */
  repeatable: boolean
  /** Called with the first slot in hand, before anything is sent to a target; an error keeps it from being sent. */
  beforeDispatch?: () => ResultAsync<void, RefusalError>
  /** Aborts when the caller is gone. */
  signal?: AbortSignal
}

/** A running job. Tokens come in order, each once, whichever targets they come from. */
export interface LiveRun {
  /** Next event, or the refusal that ends the job. */
  next: () => ResultAsync<EngineEvent, RefusalError>
  /** Stops the job on its target and gives the slot back. */
  cancel: () => Promise<void>
}

export interface LiveDeps {
  slots: SlotClient
  engine: EngineClient
  membership: MembershipView
  quarantine: Quarantine
  budget: RetryBudget
  clock: Clock
  metrics: Metrics
  log: Log
  /** Targets that have loaded a model; undefined when nothing is known. */
  targetsServing?: (model: string) => ReadonlySet<string> | undefined
  /** Tries of one job without a new token. */
  maxAttempts: number
  /** Silence on a stream taken up again after which it is given up, in milliseconds. */
  attachTimeoutMs: number
}

/** Reasons under which another try is counted, by what went wrong. */
export const RETRY_REASON_OF: Readonly<Partial<Record<EngineErrorKind, RetryReason>>> = {
  connectFailed: 'connectFailed',
  targetLeaving: 'targetLeaving',
  targetBusy: 'targetBusy',
  modelNotLoaded: 'modelNotLoaded',
  targetError: 'targetError',
  streamCut: 'streamCut',
  streamSilent: 'streamSilent'
}

/** What a broken dispatch that reached its target says about the work. */
export const OUTCOME_OF: Readonly<Record<EngineErrorKind, Outcome>> = {
  connectFailed: 'unknown',
  targetLeaving: 'unknown',
  targetBusy: 'unknown',
  modelNotLoaded: 'unknown',
  rejected: 'failed',
  targetError: 'failed',
  streamCut: 'failed',
  streamSilent: 'unknown',
  aborted: 'unknown'
}

const OUTCOME_ORDER: readonly Outcome[] = ['not_run', 'failed', 'unknown']

/** The less certain of two outcomes. */
export function worseOutcome (a: Outcome, b: Outcome): Outcome {
  return OUTCOME_ORDER.indexOf(a) > OUTCOME_ORDER.indexOf(b) ? a : b
}
