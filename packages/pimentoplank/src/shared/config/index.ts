export * from './entries'
export { createSnapshot, createStaticConfig, type ConfigSnapshot, type ConfigView } from './snapshot'
export { applyNote, entriesOf, entryKey, NoteError, type NoteIssue } from './applyNote'
export { advance, newestSnapshot, parseNote, type LogObjects } from './readLog'
export {
  noteName, sequenceOf, snapshotPart, snapshotPartName, splitSnapshot, storedNote,
  type SnapshotPart, type StoredNote
} from './noteLog'
export { CONFIG_KINDS, createConfigFollower, type ConfigFollower, type ConfigFollowerOptions } from './configFollower'
export {
  BaseConflict, createReleaseLog, type ApplyError, type Differences, type ReleaseLog, type ReleaseLogOptions,
  type ReleaseLogState
} from './releaseLog'
