/** Release log as operators read and append to it, directly in the platform. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { v7 as uuid } from 'uuid'
import type { Clock } from '../clock'
import { SECOND_MS } from '../constants'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import { PlatformConflict, PlatformUnavailable, type PlatformClient, type PlatformError, type StoredObject } from '../platform'
import { applyNote, toEntryKey, NoteError } from './applyNote'
import type { EntryRef, ReleaseNote } from './entries'
import { toNoteName, parseSequence, type StoredNote } from './logRecords'
import { replayLog, parseNote } from './readLog'
import { createSnapshot, type ConfigSnapshot } from './snapshot'

/** How long a write whose response was lost is retried to learn its outcome, in milliseconds. */
const RETRY_LIMIT_MS = 20 * SECOND_MS
const RETRY_PAUSE_MS = 250

/** Changes by other operators since the base of a note. */
export interface Differences {
  /** Current sequence number of the configuration. */
  sequence: number
  /** Notes applied since the base that are still in the log. */
  notes: Array<{ sequence: number, note: StoredNote }>
  /** Keys of entries that both these notes and the rejected one change, such as `model/desk-lm`. */
  overlapping: string[]
  /** Keys of entries that only these notes change. */
  others: string[]
  /** True when notes after the base have been trimmed from the log, so that the lists are incomplete. */
  isPartial: boolean
}

/** Optimistic concurrency conflict: the base of a note is not the current configuration. */
export class BaseConflict extends Error {
  readonly base: number
  readonly differences: Differences

  constructor (base: number, differences: Differences) {
    super(`the note is based on ${base}, but the configuration is at ${differences.sequence}`)
    this.name = 'BaseConflict'
    this.base = base
    this.differences = differences
  }
}

export type ApplyError = BaseConflict | NoteError | PlatformError

/** Result of one read of the log. */
export interface ReleaseLogState {
  current: ConfigSnapshot
  notes: ReadonlyMap<string, StoredObject>
  snapshots: ReadonlyMap<string, StoredObject>
}

export interface ReleaseLog {
  read: () => ResultAsync<ReleaseLogState, PlatformError>
  /** Finds the changes that were applied after the base of a note. */
  findDifferences: (state: ReleaseLogState, note: ReleaseNote) => Differences
  /**
   * Applies a note by one conditional create, or changes nothing. A write whose response was lost is retried until its
   * outcome is known or a time limit is reached.
   *
   * @returns the sequence number that the note produced
   */
  apply: (note: ReleaseNote) => ResultAsync<number, ApplyError>
}

export interface ReleaseLogOptions {
  platform: PlatformClient
  clock: Clock
  metrics: Metrics
  log: Log
  /** Generates the unique id of a change; a UUID by default. */
  newChangeId?: () => string
}

/** Creates a client of the release log. */
export function createReleaseLog (options: ReleaseLogOptions): ReleaseLog {
  const { platform, clock } = options
  const newChangeId = options.newChangeId ?? uuid

  async function read (): Promise<Result<ReleaseLogState, PlatformError>> {
    // Snapshots are read after notes, so that one of them covers any note that is trimmed in between.
    const notes = await platform.listAll(OBJECT_KINDS.releaseNote)
    if (notes.isErr()) return err(notes.error)
    const snapshots = await platform.listAll(OBJECT_KINDS.configSnapshot)
    if (snapshots.isErr()) return err(snapshots.error)
    const objects = { notes: indexByName(notes.value.items), snapshots: indexByName(snapshots.value.items) }
    return ok({ ...objects, current: replayLog(createSnapshot(0, []), objects, options) })
  }

  async function apply (note: ReleaseNote): Promise<Result<number, ApplyError>> {
    const state = await read()
    if (state.isErr()) return err(state.error)
    if (note.base !== state.value.current.sequence) {
      return err(new BaseConflict(note.base, computeDifferences(state.value, note)))
    }
    const checked = applyNote(state.value.current, note)
    if (checked.isErr()) return err(checked.error)
    const stored: StoredNote = { ...note, id: newChangeId(), appliedAt: clock.wallTime() }
    const written = await write(stored)
    if (written.isErr()) return err(written.error)
    return written.value === undefined ? await conflict(note) : await confirm(note, written.value)
  }

  /** Creates the object of a note; undefined when another note has the sequence number. */
  async function write (note: StoredNote): Promise<Result<StoredObject | undefined, PlatformError>> {
    const until = clock.now() + RETRY_LIMIT_MS
    let maybeApplied = false
    for (;;) {
      const put = await platform.put(OBJECT_KINDS.releaseNote, toNoteName(note.base + 1), note, { ifRevision: 0 })
      if (put.isOk()) return ok(put.value)
      if (put.error instanceof PlatformConflict) return ok(findOwnObject(put.error.current, note))
      maybeApplied ||= put.error instanceof PlatformUnavailable && put.error.maybeApplied
      if (!maybeApplied || clock.now() >= until) return err(put.error)
      await clock.sleep(RETRY_PAUSE_MS)
    }
  }

  /** Removes a note that was created after a snapshot had covered its sequence number: no reader would apply it. */
  async function confirm (note: ReleaseNote, object: StoredObject): Promise<Result<number, ApplyError>> {
    const sequence = note.base + 1
    const snapshots = await platform.listAll(OBJECT_KINDS.configSnapshot)
    if (snapshots.isErr()) return ok(sequence)
    const isLate = snapshots.value.items
      .some((snapshot) => parseSequence(snapshot.name) >= sequence && snapshot.revision < object.revision)
    if (!isLate) return ok(sequence)
    await platform.remove(OBJECT_KINDS.releaseNote, object.name, { ifRevision: object.revision })
    return await conflict(note)
  }

  async function conflict (note: ReleaseNote): Promise<Result<number, ApplyError>> {
    const state = await read()
    if (state.isErr()) return err(state.error)
    return err(new BaseConflict(note.base, computeDifferences(state.value, note)))
  }

  return {
    read: () => new ResultAsync(read()),
    findDifferences: computeDifferences,
    apply: (note) => new ResultAsync(apply(note))
  }
}

function computeDifferences (state: ReleaseLogState, note: ReleaseNote): Differences {
  const sequence = state.current.sequence
  const notes = [...state.notes.values()]
    .map((object) => ({ sequence: parseSequence(object.name), note: parseNote(object) }))
    .filter((entry): entry is { sequence: number, note: StoredNote } => entry.note !== undefined)
    .filter((entry) => entry.sequence > note.base && entry.sequence <= sequence)
  const theirs = new Set(notes.flatMap((entry) => getChangedKeys(entry.note)))
  const ours = new Set(getChangedKeys(note))
  return {
    sequence,
    notes,
    overlapping: [...theirs].filter((key) => ours.has(key)),
    others: [...theirs].filter((key) => !ours.has(key)),
    isPartial: notes.length < sequence - note.base
  }
}

function getChangedKeys (note: ReleaseNote): string[] {
  const refs: EntryRef[] = [...note.added, ...note.changed, ...note.withdrawn]
  return refs.map(toEntryKey)
}

function findOwnObject (object: StoredObject | null, note: StoredNote): StoredObject | undefined {
  if (object === null) return undefined
  return parseNote(object)?.id === note.id ? object : undefined
}

function indexByName (objects: readonly StoredObject[]): Map<string, StoredObject> {
  return new Map(objects.map((object) => [object.name, object]))
}
