/** Kinds of the objects that the system stores in the platform. */

export const OBJECT_KINDS = {
  /** A release note, named by its sequence number; immutable. */
  releaseNote: 'releasenote',
  /** Configuration snapshot as of a sequence number, which allows removing older notes. */
  configSnapshot: 'configsnapshot',
  /** Lease of the controller or of a batch runner. */
  lease: 'lease',
  /** A batch job: its content, state and size. */
  job: 'job',
  /** Input items of one chunk of an upload; immutable. */
  chunk: 'chunk',
  /** Owner of a chunk, and its committed results. */
  checkpoint: 'checkpoint',
  /** Results of some items of a chunk; immutable. */
  segment: 'segment',
  /** Intent and outcome of a request that runs at most once. */
  intent: 'intent',
  /** Content that was running on targets when they crashed. */
  quarantine: 'quarantine',
  /** State of the fleet as last observed by the controller. */
  status: 'status'
} as const

export type ObjectKind = keyof typeof OBJECT_KINDS
