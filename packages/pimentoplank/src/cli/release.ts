/** `pimentoplank apply` and `pimentoplank diff`. */
import { isDeepStrictEqual } from 'node:util'
import {
  applyNote, BaseConflict, createReleaseLog, createNullMetrics, createSilentLog, createSystemClock, entriesOf, entryKey,
  loadSettings, NoteError, releaseNote,
  EXIT_USAGE, type ConfigEntry, type ConfigSnapshot, type Differences, type PlatformClient, type ReleaseLog,
  type ReleaseNote
} from '../shared'
import { fail, print } from './output'

/** Opens the log for a command. */
export function openLog (platform: PlatformClient): ReleaseLog {
  return createReleaseLog({
    platform, clock: createSystemClock(), metrics: createNullMetrics(), log: createSilentLog()
  })
}

/** Applies a note; prints what other operators changed when its base is not the newest. */
export async function applyFile (file: string, log: ReleaseLog): Promise<void> {
  const note = await loadSettings(file, releaseNote)
  if (note.isErr()) return fail(note.error.message, EXIT_USAGE)
  const applied = await log.apply(note.value)
  if (applied.isOk()) return print(`applied: the configuration is at ${applied.value}`)
  const { error } = applied
  if (error instanceof NoteError) return fail(describeNoteError(file, error), EXIT_USAGE)
  if (error instanceof BaseConflict) return fail(describeConflict(error.base, error.differences))
  fail(`not known to be applied: ${error.message}`)
}

/** Prints what a note would change, without applying it. */
export async function diffFile (file: string, log: ReleaseLog): Promise<void> {
  const note = await loadSettings(file, releaseNote)
  if (note.isErr()) return fail(note.error.message, EXIT_USAGE)
  const state = await log.read()
  if (state.isErr()) return fail(state.error.message)
  const { current } = state.value
  print(`the configuration is at ${current.sequence}`, ...describeChanges(current, note.value))
  if (note.value.base !== current.sequence) {
    return fail(describeConflict(note.value.base, log.differences(state.value, note.value)))
  }
  const checked = applyNote(current, note.value)
  if (checked.isErr()) fail(describeNoteError(file, checked.error), EXIT_USAGE)
}

function describeNoteError (file: string, error: NoteError): string {
  const lines = error.issues.map(({ path, message }) => `  ${path}: ${message}`)
  return [`${file} cannot be applied, nothing was changed:`, ...lines].join('\n')
}

function describeConflict (base: number, differences: Differences): string {
  const { sequence, notes, overlapping, others, isPartial } = differences
  return [
    `the note is based on ${base}, but the configuration is at ${sequence}; nothing was changed`,
    'applied since:',
    ...notes.map(({ sequence: at, note }) => `  ${at}  ${note.author}  ${note.message}`),
    ...(isPartial ? ['  (older notes are no longer in the log)'] : []),
    `changed there and in this note: ${overlapping.join(', ') || 'none'}`,
    `changed there only: ${others.join(', ') || 'none'}`,
    `look at the entries, set "base" to ${sequence} and apply again`
  ].join('\n')
}

function describeChanges (current: ConfigSnapshot, note: ReleaseNote): string[] {
  const entries = new Map(entriesOf(current).map((entry) => [entryKey(entry), entry]))
  return [
    ...note.added.map((entry) => `+ ${entryKey(entry)}`),
    ...note.changed.flatMap((entry) => describeChange(entries.get(entryKey(entry)), entry)),
    ...note.withdrawn.map((ref) => `- ${entryKey(ref)}`)
  ]
}

function describeChange (before: ConfigEntry | undefined, after: ConfigEntry): string[] {
  const old: Record<string, unknown> = { ...before }
  const fields = Object.entries(after)
    .filter(([field, value]) => !isDeepStrictEqual(old[field], value))
    .map(([field, value]) => `    ${field}: ${JSON.stringify(old[field])} -> ${JSON.stringify(value)}`)
  return [`~ ${entryKey(after)}`, ...fields]
}
