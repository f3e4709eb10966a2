/** Applies a release note to a configuration atomically. */
import { err, ok, type Result } from 'neverthrow'
import type { ConfigEntry, ConfigEntryKind, EntryRef, ReleaseNote } from './entries'
import { createSnapshot, type ConfigSnapshot } from './snapshot'

/** A validation issue of a note. */
export interface NoteIssue {
  /** Path in the note, such as `changed.0.service`. */
  path: string
  /** Description of the issue. */
  message: string
}

/** Error for a note that cannot be applied; lists all its issues. */
export class NoteError extends Error {
  readonly issues: readonly NoteIssue[]

  constructor (issues: readonly NoteIssue[]) {
    super(issues.map((issue) => `${issue.path}: ${issue.message}`).join('; '))
    this.name = 'NoteError'
    this.issues = issues
  }
}

type EntryMap = Map<string, ConfigEntry>

/** Returns the unique key of an entry across kinds, such as `model/desk-lm`. */
export function toEntryKey (entry: EntryRef): string {
  return `${entry.kind}/${entry.name}`
}

/** Lists all entries of a configuration. */
export function listEntries (snapshot: ConfigSnapshot): ConfigEntry[] {
  return [...snapshot.services.values(), ...snapshot.models.values(), ...snapshot.accounts.values()]
}

/**
 * Applies a note.
 *
 * @param snapshot - the configuration that the note is based on
 * @param note - the note
 * @returns the next configuration, or all issues of the note
 */
export function applyNote (snapshot: ConfigSnapshot, note: ReleaseNote): Result<ConfigSnapshot, NoteError> {
  const entries: EntryMap = new Map(listEntries(snapshot).map((entry) => [toEntryKey(entry), entry]))
  const issues = [...checkBase(snapshot, note), ...checkPresence(entries, note), ...checkDuplicates(note)]
  for (const ref of note.withdrawn) entries.delete(toEntryKey(ref))
  for (const entry of [...note.added, ...note.changed]) entries.set(toEntryKey(entry), entry)
  issues.push(...checkReferences(entries, note), ...checkKeyHashes(entries, note))
  if (issues.length > 0) return err(new NoteError(issues))
  return ok(createSnapshot(snapshot.sequence + 1, entries.values()))
}

function checkBase (snapshot: ConfigSnapshot, note: ReleaseNote): NoteIssue[] {
  if (note.base === snapshot.sequence) return []
  return [{ path: 'base', message: `the configuration is at ${snapshot.sequence}, not at ${note.base}` }]
}

function checkPresence (entries: EntryMap, note: ReleaseNote): NoteIssue[] {
  const added = collectIssues(note.added, 'added', (entry) => entries.has(toEntryKey(entry)), 'exists already')
  const changed = collectIssues(note.changed, 'changed', (entry) => !entries.has(toEntryKey(entry)), 'does not exist')
  const withdrawn = collectIssues(note.withdrawn, 'withdrawn', (ref) => !entries.has(toEntryKey(ref)), 'does not exist')
  return [...added, ...changed, ...withdrawn]
}

function checkDuplicates (note: ReleaseNote): NoteIssue[] {
  const seen = new Set<string>()
  const isDuplicate = (ref: EntryRef): boolean => {
    const key = toEntryKey(ref)
    if (seen.has(key)) return true
    seen.add(key)
    return false
  }
  return (['added', 'changed', 'withdrawn'] as const)
    .flatMap((list) => collectIssues<EntryRef>(note[list], list, isDuplicate, 'is named twice in the note'))
}

/** Checks that the service of each model exists; a note may break this by changing either of them. */
function checkReferences (entries: EntryMap, note: ReleaseNote): NoteIssue[] {
  const issues: NoteIssue[] = []
  for (const entry of entries.values()) {
    if (entry.kind !== 'model' || entries.has(`service/${entry.service}`)) continue
    const path = findPath(note, { kind: 'model', name: entry.name }, '.service') ??
      findPath(note, { kind: 'service', name: entry.service }) ?? ''
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
    const path = findPath(note, entry, '.keyHash') ?? findPath(note, { kind: 'account', name: owner }, '.keyHash') ?? ''
    issues.push({ path, message: `accounts ${owner} and ${entry.name} have the same key` })
  }
  return issues
}

function collectIssues<Ref extends EntryRef> (
  list: readonly Ref[],
  name: string,
  isInvalid: (ref: Ref) => boolean,
  message: string
): NoteIssue[] {
  return list.flatMap((ref, index) => isInvalid(ref)
    ? [{ path: `${name}.${index}`, message: `${ref.kind} ${ref.name} ${message}` }]
    : [])
}

function findPath (note: ReleaseNote, ref: { kind: ConfigEntryKind, name: string }, suffix = ''): string | undefined {
  for (const list of ['added', 'changed', 'withdrawn'] as const) {
    const index = note[list].findIndex((entry) => entry.kind === ref.kind && entry.name === ref.name)
    if (index >= 0) return `${list}.${index}${list === 'withdrawn' ? '' : suffix}`
  }
  return undefined
}
