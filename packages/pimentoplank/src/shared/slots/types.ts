/** How work gets a slot on a target. */
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
  /** Share of the account against others. */
  weight: number
  /** Time left until the caller gives up, in milliseconds. */
  deadlineMs: number
  /** Hash of the start of the prompt, for the target's prefix cache; 0 for none. */
  prefixHash: bigint
  /** Targets that this request has failed on. */
  excluded: readonly string[]
  /** Target to prefer, such as the one that keeps a resume point. */
  preferred?: string
}

/** How work on a slot went; the home adapts the target's limit by it. */
export interface SlotReport {
  result: 'done' | 'failed' | 'notRun' | 'revoked' | 'crashed'
  firstTokenMs?: number
  /** Mean time between tokens, in milliseconds. */
  tokenGapMs?: number
  tokens?: number
}

/** A slot that is held until it is released. */
export interface SlotGrant {
  target: Target
  /** Aborts when the home takes a batch slot back; stop the work and release at once. */
  revoked: AbortSignal
  /** Gives the slot back; later calls do nothing. */
  release: (report: SlotReport) => void
}

/** Asks homes for slots. */
export interface SlotClient {
  /** Resolves with a slot, or with the refusal to pass on: reason, and when to come back. */
  acquire: (req: SlotRequest, options?: { signal?: AbortSignal }) => ResultAsync<SlotGrant, RefusalError>
  close: () => Promise<void>
}

/** Serves the stream of a holder; a home offers it over the network, and to its own process directly. */
export type OpenSlotStream = (frames: AsyncIterable<HolderFrame>, signal: AbortSignal) => AsyncIterable<HomeFrame>

/** A home in the same process. */
export interface LocalSlotHome {
  open: OpenSlotStream
}
