/** Prevents content that crashes targets from running on more targets. */

/** Classification of content after a crash. */
export type CrashVerdict = 'suspect' | 'quarantined'

export interface Quarantine {
  /** True when the content must not run any more. */
  isQuarantined: (contentHash: string) => boolean
  /**
   * Tracks a run of content on a target, so that a crash can be attributed when other content runs there too.
   *
   * @returns function that ends the run; call it after `recordCrash`
   */
  trackRun: (contentHash: string, targetId: string) => () => void
  /** Finds the targets that run other suspect content; empty unless the given content is suspect itself. */
  findTargetsWithSuspects: (contentHash: string) => readonly string[]
  /**
   * Records that a target crashed while it ran the content.
   *
   * @returns `quarantined` when the crashes recorded by all instances suffice to stop the content
   */
  recordCrash: (contentHash: string, targetId: string) => Promise<CrashVerdict>
}
