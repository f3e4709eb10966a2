/** Formats release notes, their differences and their errors as text. */
import { toEntryKey, type ApplyError, type Differences, type NoteError, type ReleaseNote } from '../shared'

/** Describes the notes that others applied since the base of a note. */
export function describeDifferences (differences: Differences): string {
  const notes = differences.notes.map(({ sequence, note }) => {
    const author = note.author === '' ? '' : ` by ${note.author}`
    const message = note.message === '' ? '' : `: ${note.message}`
    return [`  ${sequence}${author}${message}`, ...describeNote(note).map((line) => `    ${line}`)].join('\n')
  })
  return [
    `The configuration is at ${differences.sequence}. Applied since the base of this note:`,
    ...notes,
    ...(differences.isPartial ? ['  (older notes have been removed from the log)'] : []),
    `Changed by both: ${formatKeys(differences.overlapping)}`,
    `Changed by others only: ${formatKeys(differences.others)}`
  ].join('\n')
}

/** Returns one line for each entry that a note adds, changes or withdraws. */
export function describeNote (note: ReleaseNote): string[] {
  return [
    ...note.added.map((entry) => `+ ${toEntryKey(entry)}`),
    ...note.changed.map((entry) => `~ ${toEntryKey(entry)}`),
    ...note.withdrawn.map((ref) => `- ${toEntryKey(ref)}`)
  ]
}

/** Lists all errors of a note. */
export function describeNoteError (error: NoteError): string {
  const lines = error.issues.map((issue) => `  ${issue.path}: ${issue.message}`)
  return [`The note has ${error.issues.length} error(s); nothing was applied:`, ...lines].join('\n')
}

/** Describes why a note was not applied, for errors that are neither a conflict nor in the note itself. */
export function describeApplyError (error: ApplyError): string {
  const maybeApplied = 'maybeApplied' in error && error.maybeApplied
  const state = maybeApplied ? 'the note may have been applied; run `diff` later to check' : 'nothing was applied'
  return `${error.message}; ${state}`
}

function formatKeys (keys: readonly string[]): string {
  return keys.length === 0 ? 'nothing' : keys.join(', ')
}
