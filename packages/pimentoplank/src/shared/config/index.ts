export * from './entries'
export { createSnapshot, createStaticConfig, type ConfigSnapshot, type ConfigView } from './snapshot'
export { applyNote, listEntries, toEntryKey, NoteError, type NoteIssue } from './applyNote'
export { replayLog, findNewestSnapshot, parseNote, type LogObjects } from './readLog'
export {
  toNoteName, parseSequence, snapshotPart, toSnapshotPartName, splitSnapshot, storedNote,
  type SnapshotPart, type StoredNote
} from './logRecords'
export { CONFIG_KINDS, createConfigFollower, type ConfigFollower, type ConfigFollowerOptions } from './configFollower'
export {
  BaseConflict, createReleaseLog, type ApplyError, type Differences, type ReleaseLog, type ReleaseLogOptions,
  type ReleaseLogState
} from './releaseLog'
