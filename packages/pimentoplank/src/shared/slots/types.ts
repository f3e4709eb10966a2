/** Contract between work that needs a slot on a target and the instance that owns the target's slots. */
import type { ResultAsync } from 'neverthrow'
import type { RefusalError } from '../errors'
import type { Target } from '../membership'
import type { HolderFrame, HomeFrame } from '../rpc'

export type WorkClass = 'live' | 'batch'

export interface SlotRequest {
  service: string
  /** Model that the target must serve; absent for a plain service. */
  model?: string
  workClass: WorkClass
  account: string
  /** Fair-queueing weight of the account, relative to other accounts. */
  weight: number
  /** Time left until the caller's deadline, in milliseconds. */
  deadlineMs: number
  /** Hash of the prompt prefix, used for prefix-cache affinity; 0 for none. */
  prefixHash: bigint
  /** Ids of targets that this request has already failed on. */
  excluded: readonly string[]
  /** True for a stream that has delivered tokens; it waits for its slot until the deadline. */
  begun?: boolean
  /** Id of the target to try first, such as the one that stores a resume point. */
  preferred?: string
}

/** Outcome of the work on a slot; the owner adapts the target's concurrency limit to it. */
export interface SlotReport {
  /**
   * How the work ended.
   *
   * - `done`: it is complete
   * - `failed`, `crashed`: the target failed while it ran
   * - `notRun`: the target could not be reached, or refused work for its own sake
   * - `revoked`: it was ended for a reason that says nothing about the target
   */
  result: 'done' | 'failed' | 'notRun' | 'revoked' | 'crashed'
  firstTokenMs?: number
  /** Mean time between tokens, in milliseconds. */
  tokenGapMs?: number
  tokens?: number
}

/** A granted slot, in use until it is released. */
export interface SlotGrant {
  target: Target
  /** Aborts when the owner preempts a batch slot; the work must stop and release the slot at once. */
  revoked: AbortSignal
  /** Releases the slot; only the first call has an effect. */
  release: (report: SlotReport) => void
}

/** Acquires slots from the instances that own them. */
export interface SlotClient {
  /** Resolves with a slot, or with the refusal to return to the caller: its reason and when to retry. */
  acquire: (req: SlotRequest, options?: { signal?: AbortSignal }) => ResultAsync<SlotGrant, RefusalError>
  close: () => Promise<void>
}

/** Serves the stream of one holder. An owner offers it over the network, and to its own process directly. */
export type OpenSlotStream = (frames: AsyncIterable<HolderFrame>, signal: AbortSignal) => AsyncIterable<HomeFrame>

/** The slot scheduler in the same process, called without the network. */
export interface LocalSlotScheduler {
  open: OpenSlotStream
}
