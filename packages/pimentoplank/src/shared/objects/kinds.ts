/** Kinds of objects that the system keeps in the platform. */

export const OBJECT_KINDS = {
  /** One release note, named by its sequence number; created once, never changed. */
  releaseNote: 'releasenote',
  /** All entries as of a sequence number, so that old notes can be removed. */
  configSnapshot: 'configsnapshot',
  /** Lease of the controller or of a batch runner. */
  lease: 'lease',
  /** A batch job: its content, state and size. */
  job: 'job',
  /** Input items of one chunk of an upload; created once. */
  chunk: 'chunk',
  /** Who works on a chunk, and which results count. */
  checkpoint: 'checkpoint',
  /** Results of some items of a chunk; created once. */
  segment: 'segment',
  /** Intent and outcome of a request that runs at most once. */
  intent: 'intent',
  /** Content that was running on targets as they died. */
  quarantine: 'quarantine',
  /** What the fleet looks like, as the controller last saw it. */
  status: 'status'
} as const

export type ObjectKind = keyof typeof OBJECT_KINDS
