/** Builds the configuration from the objects of the release log. */
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import type { StoredObject } from '../platform'
import { applyNote } from './applyNote'
import { parseSequence, toNoteName, snapshotPart, storedNote, type SnapshotPart, type StoredNote } from './logRecords'
import { createSnapshot, type ConfigSnapshot } from './snapshot'

type Objects = ReadonlyMap<string, StoredObject>

export interface LogObjects {
  notes: Objects
  snapshots: Objects
}

export interface AdvanceOptions {
  metrics: Metrics
  log: Log
}

/** Parses a stored note; undefined when it is invalid. */
export function parseNote (object: StoredObject): StoredNote | undefined {
  const parsed = storedNote.safeParse(object.value)
  return parsed.success ? parsed.data : undefined
}

/** Finds the newest complete snapshot above a sequence number. */
export function findNewestSnapshot (snapshots: Objects, above: number): ConfigSnapshot | undefined {
  const sequences = [...new Set([...snapshots.keys()].map(parseSequence))].filter((sequence) => sequence > above)
  for (const sequence of sequences.sort((a, b) => b - a)) {
    const snapshot = joinParts(sequence, snapshots)
    if (snapshot !== undefined) return snapshot
  }
  return undefined
}

function joinParts (sequence: number, snapshots: Objects): ConfigSnapshot | undefined {
  const parts: SnapshotPart[] = []
  for (const object of snapshots.values()) {
    if (parseSequence(object.name) !== sequence) continue
    const parsed = snapshotPart.safeParse(object.value)
    if (!parsed.success) return undefined
    parts.push(parsed.data)
  }
  const expected = parts[0]?.parts
  if (expected === undefined || parts.length < expected) return undefined
  return createSnapshot(sequence, parts.flatMap((part) => part.entries))
}

/**
 * Replays the log on a configuration: first the newest snapshot, which supersedes the notes that it covers, then the
 * following notes in order. A note that cannot be applied increments the sequence number and changes nothing else, so
 * that all instances get the same result.
 */
export function replayLog (from: ConfigSnapshot, objects: LogObjects, options: AdvanceOptions): ConfigSnapshot {
  let current = findNewestSnapshot(objects.snapshots, from.sequence) ?? from
  for (;;) {
    const next = objects.notes.get(toNoteName(current.sequence + 1))
    if (next === undefined) return current
    current = applyStored(current, next, options)
  }
}

function applyStored (current: ConfigSnapshot, object: StoredObject, options: AdvanceOptions): ConfigSnapshot {
  const { metrics, log } = options
  const note = parseNote(object)
  const applied = note === undefined ? undefined : applyNote(current, note)
  if (applied?.isOk() === true) return applied.value
  metrics.count('config.rejectedNotes')
  log.error({ note: object.name, err: applied?._unsafeUnwrapErr() }, 'release note in the log was skipped: it cannot be applied')
  return { ...current, sequence: current.sequence + 1 }
}
