/** What each error of an engine means for the item that met it. */
import type { EngineErrorKind, RetryReason, SlotReport } from '../shared'

export interface EngineErrorTraits {
  /** Counted when the item is tried again. */
  retry: RetryReason
  /** True where the try counts against the item's bound. */
  countsAsTry: boolean
  report: SlotReport['result']
  /** Pause before the item is tried again, in milliseconds. */
  pauseMs: number
}

const NOT_RUN_PAUSE_MS = 250
const FAILED_PAUSE_MS = 500

function notRun (retry: RetryReason): EngineErrorTraits {
  return { retry, countsAsTry: false, report: 'notRun', pauseMs: NOT_RUN_PAUSE_MS }
}

function failed (retry: RetryReason): EngineErrorTraits {
  return { retry, countsAsTry: true, report: 'failed', pauseMs: FAILED_PAUSE_MS }
}

export const ENGINE_ERROR_TRAITS: Record<EngineErrorKind, EngineErrorTraits> = {
  connectFailed: notRun('connectFailed'),
  targetLeaving: notRun('targetLeaving'),
  targetBusy: notRun('targetBusy'),
  modelNotLoaded: notRun('modelNotLoaded'),
  rejected: failed('targetError'),
  targetError: failed('targetError'),
  streamCut: failed('streamCut'),
  streamSilent: failed('streamSilent'),
  aborted: { retry: 'slotRevoked', countsAsTry: false, report: 'revoked', pauseMs: 0 }
}
