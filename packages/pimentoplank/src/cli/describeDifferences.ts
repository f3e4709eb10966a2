/** Texts about release notes. */
import { entryKey, type ApplyError, type Differences, type NoteError, type ReleaseNote } from '../shared'

/** Tells what others applied since the base of a note. */
export function describeDifferences (differences: Differences): string {
  const notes = differences.notes.map(({ sequence, note }) => {
    const by = note.author === '' ? '' : ` by ${note.author}`
    const message = note.message === '' ? '' : `: ${note.message}`
    return [`  ${sequence}${by}${message}`, ...describeNote(note).map((line) => `    ${line}`)].join('\n')
  })
  return [
    `The configuration is at ${differences.sequence}. Applied since the base of this note:`,
    ...notes,
    ...(differences.isPartial ? ['  (older notes are gone from the log)'] : []),
    `Touched by both: ${listOf(differences.overlapping)}`,
    `Touched by others only: ${listOf(differences.others)}`
  ].join('\n')
}

/** One line for each entry that a note touches. */
export function describeNote (note: ReleaseNote): string[] {
  return [
    ...note.added.map((entry) => `+ ${entryKey(entry)}`),
    ...note.changed.map((entry) => `~ ${entryKey(entry)}`),
    ...note.withdrawn.map((ref) => `- ${entryKey(ref)}`)
  ]
}

/** Tells everything that is wrong with a note. */
export function describeNoteError (error: NoteError): string {
  const lines = error.issues.map((issue) => `  ${issue.path}: ${issue.message}`)
  return [`The note has ${error.issues.length} error(s); nothing was applied:`, ...lines].join('\n')
}

/** Tells why a note was not applied, for errors that are neither a conflict nor in the note. */
export function describeApplyError (error: ApplyError): string {
  const maybeApplied = 'maybeApplied' in error && error.maybeApplied
  const state = maybeApplied ? 'it is not known whether the note was applied; run `diff` later' : 'nothing was applied'
  return `${error.message}; ${state}`
}

function listOf (keys: readonly string[]): string {
  return keys.length === 0 ? 'nothing' : keys.join(', ')
}
