/** Prevents content that crashes targets from running on more targets. */

/** Classification of content after a crash. */
export type CrashVerdict = 'suspect' | 'quarantined'

export interface Quarantine {
  /**
   * True when the content, or a part of its prompt, must not run any more.
   *
   * @param parts - hashes of the parts that other prompts may share
   */
  isQuarantined: (contentHash: string, parts?: readonly string[]) => boolean
  /** True when the prompt has parts that crash targets. */
  hasCrashingParts: (parts: readonly string[]) => boolean
  /**
   * Claims the probe that is due for parts of the prompt, so that a wrong refusal ends before its time.
   *
   * @returns true for the one request of all instances that may run although its parts are quarantined
   */
  claimProbe: (contentHash: string, parts: readonly string[]) => Promise<boolean>
  /** Records that an answer has begun, which clears the parts of its prompt of earlier crashes. */
  recordAnswer: (parts: readonly string[]) => void
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
   * @param parts - hashes of the parts that other prompts may share; none if the answer had begun
   * @returns `quarantined` when the crashes recorded by all instances suffice to stop the content
   */
  recordCrash: (contentHash: string, targetId: string, parts?: readonly string[]) => Promise<CrashVerdict>
}
