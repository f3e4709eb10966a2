/** State of an item and of its runs. */
import {
  hashPrompt,
  type ChunkItem, type EngineStream, type PromptHashes, type ResumePoint, type RunVersion, type SlotGrant, type Target
} from '../shared'
import type { RunnerContext } from './context'

/** State of an item until it has a result. */
export interface ItemTask {
  index: number
  item: ChunkItem
  account: string
  requestId: string
  hashes: PromptHashes
  /** Number of runs that the target reported as failed. */
  failedRuns: number
  /** Number of runs that broke off, for example as the target crashed. */
  brokenRuns: number
  /** Earliest time of the next attempt, on the runner's clock. */
  notBefore: number
  /** True once any part of the item may have reached a target. */
  isDispatched: boolean
  /** True after a target crashed while running it; at most one such item runs at a time. */
  isSuspect: boolean
  /** True while the item waits for a slot. */
  isWaiting: boolean
  /** Ids of targets that the next run avoids. */
  excluded: string[]
  resume?: ResumePoint
  /** Time at which the item's model was first missing from the configuration. */
  modelMissingSince?: number
}

/** Creates the initial task of an item. */
export function createItemTask (chunk: string, account: string, index: number, item: ChunkItem): ItemTask {
  return {
    index,
    item,
    account,
    requestId: `${chunk}.${index}`,
    hashes: hashPrompt(String(item.body.model), item.body),
    failedRuns: 0,
    brokenRuns: 0,
    notBefore: 0,
    isDispatched: false,
    isSuspect: false,
    isWaiting: false,
    excluded: []
  }
}

/** Tokens of an item so far. */
export interface Progress {
  text: string
  tokens: number
  firstTokenAt?: number
  lastTokenAt?: number
  /** Software version that has generated the text. */
  version: RunVersion
}

/** An item while it runs on a target. */
export interface ItemRun {
  context: RunnerContext
  task: ItemTask
  target: Target
  progress: Progress
  stream: EngineStream
  /** Software version of the target. */
  version: RunVersion
  stopSignal: AbortSignal
  /** Slot on another target, held when the stream is given up as silent. */
  replacement?: SlotGrant
}

/** A dispatched at-most-once item may only resume on the target that ran it, where it continues the same run. */
export function isPinned (task: ItemTask): boolean {
  return task.item.noRepeat && task.isDispatched
}

/** Returns the kind of an item's request. */
export function getKind (item: ChunkItem): 'chat' | 'completion' {
  return item.endpoint === '/v1/completions' ? 'completion' : 'chat'
}

/** Returns the point from which the item can go on. */
export function toResumePoint (streamId: string, target: Target, progress: Progress): ResumePoint {
  const { tokens, text, version } = progress
  return { streamId, targetId: target.id, tokens, text, softwareVersion: version }
}
