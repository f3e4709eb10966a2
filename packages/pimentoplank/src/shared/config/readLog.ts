/** Builds the configuration from the objects of the log. */
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import type { StoredObject } from '../platform'
import { applyNote } from './applyNote'
import { sequenceOf, noteName, snapshotPart, storedNote, type SnapshotPart, type StoredNote } from './noteLog'
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

/** Reads a note from its object; undefined when it cannot be read. */
export function parseNote (object: StoredObject): StoredNote | undefined {
  const parsed = storedNote.safeParse(object.value)
  return parsed.success ? parsed.data : undefined
}

/** The newest snapshot above a sequence number all of whose parts are there. */
export function newestSnapshot (snapshots: Objects, above: number): ConfigSnapshot | undefined {
  const sequences = [...new Set([...snapshots.keys()].map(sequenceOf))].filter((sequence) => sequence > above)
  for (const sequence of sequences.sort((a, b) => b - a)) {
    const snapshot = joinParts(sequence, snapshots)
    if (snapshot !== undefined) return snapshot
  }
  return undefined
}

function joinParts (sequence: number, snapshots: Objects): ConfigSnapshot | undefined {
  const parts: SnapshotPart[] = []
  for (const object of snapshots.values()) {
    if (sequenceOf(object.name) !== sequence) continue
    const parsed = snapshotPart.safeParse(object.value)
    if (!parsed.success) return undefined
    parts.push(parsed.data)
  }
  const expected = parts[0]?.parts
  if (expected === undefined || parts.length < expected) return undefined
  return createSnapshot(sequence, parts.flatMap((part) => part.entries))
}

/**
 * Goes on from a configuration as far as the log reaches: the newest snapshot first, since notes that it covers do not
 * count any more, then one note after the other. A note that cannot be applied counts and changes nothing, on every
 * instance alike.
 */
export function advance (from: ConfigSnapshot, objects: LogObjects, options: AdvanceOptions): ConfigSnapshot {
  let current = newestSnapshot(objects.snapshots, from.sequence) ?? from
  for (;;) {
    const next = objects.notes.get(noteName(current.sequence + 1))
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
  log.error({ note: object.name, err: applied?._unsafeUnwrapErr() }, 'a release note in the log cannot be applied')
  return { ...current, sequence: current.sequence + 1 }
}
