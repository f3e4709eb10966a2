export { createEntry, type Entry, type EntryDeps } from './createEntry'
export { entrySettings, type EntrySettings } from './settings'
export type { EntryEnv } from './context'
export type { JobView } from './batches/jobView'
