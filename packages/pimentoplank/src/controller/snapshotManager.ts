/** Writes snapshots of the configuration, and removes the release notes and snapshots that they replace. */
import {
  listEntries, findNewestSnapshot, OBJECT_KINDS, PlatformConflict, parseSequence, toSnapshotPartName, splitSnapshot,
  type Followers, type Lease, type Log, type PlatformClient
} from '../shared'
import type { ControllerSettings } from './settings'

/** Most objects removed in one pass. */
const MAX_REMOVALS = 20
const KEPT_SNAPSHOTS = 2

export interface SnapshotManagerOptions {
  platform: PlatformClient
  followers: Pick<Followers, 'feed' | 'config'>
  settings: ControllerSettings['snapshots']
  log: Log
}

export interface SnapshotManager {
  /** Writes a snapshot if enough release notes were applied since the last one; otherwise removes obsolete objects. */
  writeOrTrim: (lease: Lease) => Promise<void>
}

/** Creates a snapshot manager. */
export function createSnapshotManager (options: SnapshotManagerOptions): SnapshotManager {
  const { platform, followers, settings, log } = options
  const { feed, config } = followers

  async function write (lease: Lease): Promise<void> {
    const { sequence } = config.current()
    for (const part of splitSnapshot(sequence, listEntries(config.current()))) {
      if (!lease.isHeld()) return
      const name = toSnapshotPartName(sequence, part.part)
      const written = await platform.put(OBJECT_KINDS.configSnapshot, name, part, { ifRevision: 0 })
      // On a conflict, another controller has written this part with the same content.
      if (written.isErr() && !(written.error instanceof PlatformConflict)) return
    }
    log.info({ sequence }, 'configuration snapshot written')
  }

  async function trim (newest: number, lease: Lease): Promise<void> {
    const oldNotes = [...feed.objects(OBJECT_KINDS.releaseNote).values()]
      .filter(({ name }) => parseSequence(name) <= newest - settings.keepNotes)
    const snapshots = [...feed.objects(OBJECT_KINDS.configSnapshot).values()]
    const sequences = [...new Set(snapshots.map(({ name }) => parseSequence(name)))].sort((a, b) => b - a)
    const kept = sequences.filter((sequence) => sequence >= newest || sequence > (sequences[KEPT_SNAPSHOTS] ?? -1))
    const oldSnapshots = snapshots.filter(({ name }) => !kept.includes(parseSequence(name)))
    for (const { kind, name, revision } of [...oldNotes, ...oldSnapshots].slice(0, MAX_REMOVALS)) {
      if (!lease.isHeld()) return
      await platform.remove(kind, name, { ifRevision: revision })
    }
  }

  return {
    writeOrTrim: async (lease) => {
      const newest = findNewestSnapshot(feed.objects(OBJECT_KINDS.configSnapshot), 0)?.sequence ?? 0
      if (config.current().sequence - newest >= settings.everyNotes) await write(lease)
      else if (newest > 0) await trim(newest, lease)
    }
  }
}
