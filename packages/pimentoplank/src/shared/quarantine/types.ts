/** Keeps content that crashes targets away from further targets. */

/** What is known about content after one more crash. */
export type CrashVerdict = 'suspect' | 'quarantined'

export interface Quarantine {
  /** True when the content may not run any more. */
  isQuarantined: (contentHash: string) => boolean
  /**
   * Records that a target died while it ran the content.
   *
   * @returns `quarantined` when another target had died with it before, on any instance
   */
  noteCrash: (contentHash: string, targetId: string) => Promise<CrashVerdict>
}
