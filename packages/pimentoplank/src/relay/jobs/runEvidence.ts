/** Records what the end of an item's run says of its target, and of its item as a cause of crashes. */
import { LRUCache } from 'lru-cache'
import type { Clock } from '../../shared'
import { BEGINNING_EVENTS, type CrashTracker } from '../live'
import type { FaultKind, LoadView } from '../load'
import type { InstancePaths } from '../paths'
import type { ActiveRun } from './activeRun'
import { getFaultKind } from './itemFaults'
import { createItemRequest, type ItemEnd } from './runItem'

export interface RunEvidenceOptions {
  loads: Pick<LoadView, 'recordFailure'>
  crashes: Pick<CrashTracker, 'recordPossibleCrash' | 'recordAnswer'>
  paths: Pick<InstancePaths, 'isCutOff'>
  clock: Clock
}

export interface RunEvidence {
  /** Records the end of a run that has received `events` events. */
  recordEnd: (run: ActiveRun, end: ItemEnd, events: number) => void
}

const MAX_SILENT_TARGETS = 10_000

/** Creates the recorder of an instance. */
export function createRunEvidence ({ loads, crashes, paths, clock }: RunEvidenceOptions): RunEvidence {
  /** When the silence of a target was last recorded as its failure. */
  const silenceRecordedAt = new LRUCache<string, number>({ max: MAX_SILENT_TARGETS })

  function recordEnd (run: ActiveRun, end: ItemEnd, events: number): void {
    recordCrashEvidence(run, end, events)
    const fault = getFaultKind(end)
    if (fault !== undefined) recordTargetFailure(run, end, fault)
  }

  /** A silence under several items counts once; a run that was sent after it has tried the target anew. */
  function recordTargetFailure ({ target, sentAt }: ActiveRun, end: ItemEnd, kind: FaultKind): void {
    if (kind === 'silence') {
      if (sentAt <= (silenceRecordedAt.get(target) ?? -Infinity)) return
      silenceRecordedAt.set(target, clock.now())
    }
    loads.recordFailure(target, `item.${end.type}`, kind)
  }

  function recordCrashEvidence (
    { ready: { owned, itemId, progress }, body = '', target, address, startedAt }: ActiveRun,
    end: ItemEnd,
    events: number
  ): void {
    const item = owned.findItem(itemId)!
    if (events >= BEGINNING_EVENTS || end.type === 'completed') {
      progress.crashes = 0
      crashes.recordAnswer(item.headers)
      return
    }
    // A cut that befalls all connections is no crash.
    if (end.type !== 'interrupted' || paths.isCutOff()) return
    if (end.reason !== 'broken' && end.reason !== 'staleConnection') return
    if (end.reason === 'broken') progress.crashes += 1
    const request = createItemRequest({ ...item, body: item.body ?? body }, owned.record().host)
    crashes.recordPossibleCrash({ id: target, address, startedAt }, request, end.reason)
  }

  return { recordEnd }
}
