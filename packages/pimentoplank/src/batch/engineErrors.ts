/** How a batch runner reacts to each kind of engine error. */
import type { EngineErrorKind, RetryReason, SlotReport } from '../shared'

export interface EngineErrorTraits {
  /** Reason under which the retry is counted in the metrics. */
  retry: RetryReason
  /** True when the target reported a failure of the item, which counts towards the item's limit of failed runs. */
  countsAsFailure: boolean
  /** True when the target may have crashed while it ran the item. */
  mayBeCrash: boolean
  /** Result reported when the slot is released. */
  report: SlotReport['result']
  /** Backoff before the item is retried, in milliseconds. */
  pauseMs: number
}

const NOT_RUN_PAUSE_MS = 250
const FAILED_PAUSE_MS = 500

function createNotRunTraits (retry: RetryReason): EngineErrorTraits {
  return { retry, countsAsFailure: false, mayBeCrash: false, report: 'notRun', pauseMs: NOT_RUN_PAUSE_MS }
}

/** A run that the target reported as failed. */
function createFailedTraits (retry: RetryReason): EngineErrorTraits {
  return { retry, countsAsFailure: true, mayBeCrash: true, report: 'failed', pauseMs: FAILED_PAUSE_MS }
}

/** A run that broke off, which says nothing about the item. */
function createBrokenTraits (retry: RetryReason): EngineErrorTraits {
  return { retry, countsAsFailure: false, mayBeCrash: true, report: 'failed', pauseMs: FAILED_PAUSE_MS }
}

export const ENGINE_ERROR_TRAITS: Record<EngineErrorKind, EngineErrorTraits> = {
  connectFailed: createNotRunTraits('connectFailed'),
  targetLeaving: createNotRunTraits('targetLeaving'),
  targetBusy: createNotRunTraits('targetBusy'),
  modelNotLoaded: createNotRunTraits('modelNotLoaded'),
  rejected: { ...createFailedTraits('targetError'), report: 'revoked' },
  targetError: createFailedTraits('targetError'),
  streamCut: createBrokenTraits('streamCut'),
  streamSilent: createBrokenTraits('streamSilent'),
  otherVersion: createNotRunTraits('otherVersion'),
  aborted: { retry: 'slotRevoked', countsAsFailure: false, mayBeCrash: false, report: 'revoked', pauseMs: 0 }
}
