/** Types and outcome tables of live requests. */
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
  /** Time that the caller waits for the answer, in milliseconds. */
  timeoutMs: number
  /** Hash of the prompt prefix, for cache affinity. */
  prefixHash: bigint
  /** Hash of the content, by which the quarantine identifies it. */
  contentHash: string
  /** Hashes of the parts of the prompt that other prompts may share. */
  partHashes: readonly string[]
  /** False for at-most-once work. */
  repeatable: boolean
  /** Called once the first slot is acquired, before anything is sent to a target; an error prevents the dispatch. */
  beforeDispatch?: () => ResultAsync<void, RefusalError>
  /** Aborts when the caller disconnects. */
  signal?: AbortSignal
}

/** A request that crashes its target does so as its answer begins, before this many tokens. */
export const BEGINNING_TOKENS = 2

/** A running job. It delivers each token once and in order, even when several targets contribute to the answer. */
export interface LiveRun {
  /** Returns the next event, or the refusal that ends the job. */
  next: () => ResultAsync<EngineEvent, RefusalError>
  /** Stops the job on its target and releases the slot. */
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
  /** Returns the targets that have loaded a model; undefined when that is not known. */
  targetsServing?: (model: string) => ReadonlySet<string> | undefined
  /** Attempts of a job in a row that deliver no new token. */
  maxAttempts: number
  /** Time without data after which a resumed stream counts as failed, in milliseconds. */
  attachTimeoutMs: number
}

/** Reasons under which a retry is counted in the metrics, by the error that caused it. */
export const RETRY_REASONS: Readonly<Partial<Record<EngineErrorKind, RetryReason>>> = {
  connectFailed: 'connectFailed',
  targetLeaving: 'targetLeaving',
  targetBusy: 'targetBusy',
  modelNotLoaded: 'modelNotLoaded',
  targetError: 'targetError',
  streamCut: 'streamCut',
  streamSilent: 'streamSilent',
  otherVersion: 'otherVersion'
}

/** Outcome of a failed dispatch that reached its target, by the error. */
export const FAILURE_OUTCOMES: Readonly<Record<EngineErrorKind, Outcome>> = {
  connectFailed: 'unknown',
  targetLeaving: 'unknown',
  targetBusy: 'unknown',
  modelNotLoaded: 'unknown',
  rejected: 'failed',
  targetError: 'failed',
  streamCut: 'failed',
  streamSilent: 'unknown',
  otherVersion: 'failed',
  aborted: 'unknown'
}

const OUTCOME_ORDER: readonly Outcome[] = ['not_run', 'failed', 'unknown']

/** Returns the less certain of two outcomes. */
export function getWorseOutcome (a: Outcome, b: Outcome): Outcome {
  return OUTCOME_ORDER.indexOf(a) > OUTCOME_ORDER.indexOf(b) ? a : b
}
