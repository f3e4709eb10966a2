/** Storage format of the configuration: a log of release notes, and snapshots that allow trimming the log. */
import * as z from 'zod'
import { configEntry, releaseNote } from './entries'

const SEQUENCE_DIGITS = 10
/** Maximum size of the entries in one part of a snapshot, in bytes; the platform stores values of up to 1 MiB. */
const MAX_PART_BYTES = 768 * 1024

/** Stored release note; the object name is the sequence number that the note produces. */
export const storedNote = releaseNote.extend({
  /** Unique id of the change, by which a writer recognizes its own note in the log. */
  id: z.string().min(1),
  /** When the note was applied, in milliseconds since the Unix epoch; for display only. */
  appliedAt: z.number()
})
export type StoredNote = z.infer<typeof storedNote>

/** One part of a snapshot; the object name consists of sequence number and part. */
export const snapshotPart = z.strictObject({
  sequence: z.int().min(0),
  part: z.int().min(0),
  parts: z.int().min(1),
  entries: z.array(configEntry)
})
export type SnapshotPart = z.infer<typeof snapshotPart>

/** Returns the object name of the note that produces a sequence number. */
export function toNoteName (sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0')
}

/** Parses the sequence number from the object name of a note or a snapshot part. */
export function parseSequence (name: string): number {
  return Number(name.slice(0, SEQUENCE_DIGITS))
}

/** Returns the object name of a snapshot part. */
export function toSnapshotPartName (sequence: number, part: number): string {
  return `${toNoteName(sequence)}.${part}`
}

/** Splits a configuration into parts that the platform can store; deterministic for the same set of entries. */
export function splitSnapshot (sequence: number, entries: readonly z.infer<typeof configEntry>[]): SnapshotPart[] {
  const groups: Array<Array<z.infer<typeof configEntry>>> = [[]]
  let bytes = 0
  const sorted = [...entries].sort((a, b) => toSortKey(a) < toSortKey(b) ? -1 : 1)
  for (const entry of sorted) {
    const size = Buffer.byteLength(JSON.stringify(entry)) + 1
    if (bytes + size > MAX_PART_BYTES) {
      groups.push([])
      bytes = 0
    }
    groups.at(-1)!.push(entry)
    bytes += size
  }
  return groups.map((group, part) => ({ sequence, part, parts: groups.length, entries: group }))
}

function toSortKey (entry: z.infer<typeof configEntry>): string {
  return `${entry.kind}/${entry.name}`
}
