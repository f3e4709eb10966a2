/** How the configuration lies in the platform: a log of release notes, and full copies so that it can be trimmed. */
import { z } from 'zod'
import { configEntry, releaseNote } from './entries'

const SEQUENCE_DIGITS = 10
/** Most bytes of entries in one part of a snapshot; the platform holds values up to 1 MiB. */
const MAX_PART_BYTES = 768 * 1024

/** A release note as it is stored: the object is named by the sequence number that it makes. */
export const storedNote = releaseNote.extend({
  /** Unique id of the change; tells the writer whether a note in the log is its own. */
  id: z.string().min(1),
  /** When it was applied, milliseconds since the epoch; for display. */
  appliedAt: z.number()
})
export type StoredNote = z.infer<typeof storedNote>

/** One part of a snapshot; the object is named by sequence number and part. */
export const snapshotPart = z.strictObject({
  sequence: z.int().min(0),
  part: z.int().min(0),
  parts: z.int().min(1),
  entries: z.array(configEntry)
})
export type SnapshotPart = z.infer<typeof snapshotPart>

/** Name of the note that makes a sequence number. */
export function noteName (sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0')
}

/** Sequence number that a note or a part of a snapshot is named by. */
export function sequenceOf (name: string): number {
  return Number(name.slice(0, SEQUENCE_DIGITS))
}

/** Name of one part of a snapshot. */
export function snapshotPartName (sequence: number, part: number): string {
  return `${noteName(sequence)}.${part}`
}

/** Cuts the entries of a configuration into parts that the platform can hold; equal entries give equal parts. */
export function splitSnapshot (sequence: number, entries: readonly z.infer<typeof configEntry>[]): SnapshotPart[] {
  const groups: Array<Array<z.infer<typeof configEntry>>> = [[]]
  let bytes = 0
  const sorted = [...entries].sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1)
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

function sortKey (entry: z.infer<typeof configEntry>): string {
  return `${entry.kind}/${entry.name}`
}
