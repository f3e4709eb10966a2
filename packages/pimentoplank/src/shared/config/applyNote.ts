/** Applies a release note to a configuration, whole or not at all. */
import { err, ok, type Result } from 'neverthrow'
import type { ConfigEntry, ConfigEntryKind, EntryRef, ReleaseNote } from './entries'
import { createSnapshot, type ConfigSnapshot } from './snapshot'

/** One thing that is wrong with a note. */
export interface NoteIssue {
  /** Path in the note, such as `changed.0.service`. */
  path: string
  /** What is wrong. */
  message: string
}

/** A note that cannot be applied. */
export class NoteError extends Error {
  readonly issues: readonly NoteIssue[]

  constructor (issues: readonly NoteIssue[]) {
    super(issues.map((issue) => `${issue.path}: ${issue.message}`).join('; '))
    this.name = 'NoteError'
    this.issues = issues
  }
}

type EntryMap = Map<string, ConfigEntry>

/** Identity of an entry across kinds, such as `model/desk-lm`. */
export function entryKey (entry: EntryRef): string {
  return `${entry.kind}/${entry.name}`
}

/** All entries of a configuration. */
export function entriesOf (snapshot: ConfigSnapshot): ConfigEntry[] {
  return [...snapshot.services.values(), ...snapshot.models.values(), ...snapshot.accounts.values()]
}

/**
 * Applies a note.
 *
 * @param snapshot - the configuration that the note is based on
 * @param note - the note
 * @returns the next configuration, or everything that is wrong with the note
 */
export function applyNote (snapshot: ConfigSnapshot, note: ReleaseNote): Result<ConfigSnapshot, NoteError> {
  const entries: EntryMap = new Map(entriesOf(snapshot).map((entry) => [entryKey(entry), entry]))
  const issues = [...checkBase(snapshot, note), ...checkPresence(entries, note), ...checkRepeats(note)]
  for (const ref of note.withdrawn) entries.delete(entryKey(ref))
  for (const entry of [...note.added, ...note.changed]) entries.set(entryKey(entry), entry)
  issues.push(...checkReferences(entries, note), ...checkKeyHashes(entries, note))
  if (issues.length > 0) return err(new NoteError(issues))
  return ok(createSnapshot(snapshot.sequence + 1, entries.values()))
}

function checkBase (snapshot: ConfigSnapshot, note: ReleaseNote): NoteIssue[] {
  if (note.base === snapshot.sequence) return []
  return [{ path: 'base', message: `the configuration is at ${snapshot.sequence}, not at ${note.base}` }]
}

function checkPresence (entries: EntryMap, note: ReleaseNote): NoteIssue[] {
  const added = issuesWhere(note.added, 'added', (entry) => entries.has(entryKey(entry)), 'exists already')
  const changed = issuesWhere(note.changed, 'changed', (entry) => !entries.has(entryKey(entry)), 'does not exist')
  const withdrawn = issuesWhere(note.withdrawn, 'withdrawn', (ref) => !entries.has(entryKey(ref)), 'does not exist')
  return [...added, ...changed, ...withdrawn]
}

function checkRepeats (note: ReleaseNote): NoteIssue[] {
  const seen = new Set<string>()
  const isRepeated = (ref: EntryRef): boolean => {
    const key = entryKey(ref)
    if (seen.has(key)) return true
    seen.add(key)
    return false
  }
  return (['added', 'changed', 'withdrawn'] as const)
    .flatMap((list) => issuesWhere<EntryRef>(note[list], list, isRepeated, 'is named twice in the note'))
}

/** A model needs its service, whichever of the two the note touches. */
function checkReferences (entries: EntryMap, note: ReleaseNote): NoteIssue[] {
  const issues: NoteIssue[] = []
  for (const entry of entries.values()) {
    if (entry.kind !== 'model' || entries.has(`service/${entry.service}`)) continue
    const path = pathOf(note, { kind: 'model', name: entry.name }, '.service') ??
      pathOf(note, { kind: 'service', name: entry.service }) ?? ''
    issues.push({ path, message: `model ${entry.name} needs service ${entry.service}, which does not exist` })
  }
  return issues
}

function checkKeyHashes (entries: EntryMap, note: ReleaseNote): NoteIssue[] {
  const owners = new Map<string, string>()
  const issues: NoteIssue[] = []
  for (const entry of entries.values()) {
    if (entry.kind !== 'account') continue
    const owner = owners.get(entry.keyHash)
    owners.set(entry.keyHash, entry.name)
    if (owner === undefined) continue
    const path = pathOf(note, entry, '.keyHash') ?? pathOf(note, { kind: 'account', name: owner }, '.keyHash') ?? ''
    issues.push({ path, message: `accounts ${owner} and ${entry.name} have the same key` })
  }
  return issues
}

function issuesWhere<Ref extends EntryRef> (
  list: readonly Ref[],
  name: string,
  isWrong: (ref: Ref) => boolean,
  message: string
): NoteIssue[] {
  return list.flatMap((ref, index) => isWrong(ref)
    ? [{ path: `${name}.${index}`, message: `${ref.kind} ${ref.name} ${message}` }]
    : [])
}

function pathOf (note: ReleaseNote, ref: { kind: ConfigEntryKind, name: string }, suffix = ''): string | undefined {
  for (const list of ['added', 'changed', 'withdrawn'] as const) {
    const index = note[list].findIndex((entry) => entry.kind === ref.kind && entry.name === ref.name)
    if (index >= 0) return `${list}.${index}${list === 'withdrawn' ? '' : suffix}`
  }
  return undefined
}
