/** Keeps content that crashes targets away from further targets. */

/** What is known about content after one more crash. */
export type CrashVerdict = 'suspect' | 'quarantined'

export interface Quarantine {
  /** True when the content may not run any more. */
  isQuarantined: (contentHash: string) => boolean
  /**
   * Notes that content runs on a target, so that a crash there can be told apart from that of its neighbours.
   *
   * @returns notes the end of the run; call it after `noteCrash`
   */
  noteRun: (contentHash: string, targetId: string) => () => void
  /** Targets that run content that was there at an earlier crash; other such content keeps away from them. */
  targetsWithSuspects: (contentHash: string) => readonly string[]
  /**
   * Records that a target died while it ran the content.
   *
   * @returns `quarantined` when another target had died with it before, on any instance
   */
  noteCrash: (contentHash: string, targetId: string) => Promise<CrashVerdict>
}
