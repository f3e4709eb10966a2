/**
 * Software versions of streams: at which version a stream that has delivered events may go on.
 *
 * Load pattern: targets of several software versions serve side by side, and what two of them write does not fit
 * together. Streams break, callers take them up at other instances, and targets come back at another version under
 * their old id while peers and the platform still list the version before.
 */

/** Which software versions a service has had. */
export interface VersionHistory {
  /** Time since which changes of the service's targets have been followed, on the monotonic clock in milliseconds. */
  followedSince: number
  /** When each version was last registered; infinite while it is. */
  versions: ReadonlyMap<string, number>
}

/**
 * Finds the version of a stream of which nothing is known: the only one that the service has had for as long as a
 * stream can last.
 *
 * @param maxStreamMs - longest time since a stream that is taken up now may have begun, in milliseconds
 */
export function findOnlyVersion (history: VersionHistory, maxStreamMs: number, now: number): string | undefined {
  const since = now - maxStreamMs
  if (history.followedSince > since) return undefined
  const recent = [...history.versions].filter(([, lastAt]) => lastAt >= since).map(([version]) => version)
  return recent.length === 1 ? recent[0] : undefined
}

/**
 * A target's entry may be this much older than the process that answers at its address, in milliseconds. A run that was
 * placed within this time before the entry showed another version may have reached either process.
 */
export const VERSION_DOUBT_MS = 1000

/** True when a change of the target's version leaves open which version a run has reached. */
export function isVersionDoubtful (placedAt: number, changedAt: number): boolean {
  return changedAt >= placedAt && changedAt - placedAt < VERSION_DOUBT_MS
}

/** Target at which a stream may go on. */
export interface ResumeCandidate {
  id: string
  version: string
  /** When a run there last broke off, on the monotonic clock in milliseconds; undefined if none did. */
  brokeOffAt: number | undefined
}

export interface ResumeInput {
  /** Version of the stream. */
  version: string
  /** Targets that have failed the request before. */
  excluded: ReadonlySet<string>
  /** Those of them that may be used again where there are no others. */
  reusable?: ReadonlySet<string>
  /** When the request began to look for a target, on the monotonic clock in milliseconds. */
  since: number
  now: number
}

/** After a run has broken off, the target may be back at another version before its entry shows it, in milliseconds. */
export const BROKEN_OFF_MS = 500

/**
 * Lists the targets at which a stream may go on, of its version only. Those that have failed it are used again where
 * there are no others. Targets whose runs have just broken off are left out until the request has waited for them.
 */
export function listResumeCandidates<Candidate extends ResumeCandidate> (
  candidates: readonly Candidate[],
  { version, excluded, reusable, since, now }: ResumeInput
): Candidate[] {
  const matching = candidates.filter((one) => one.version === version)
  const hasOnlyFailed = matching.every(({ id }) => reusable?.has(id) === true)
  const pool = hasOnlyFailed ? matching : matching.filter(({ id }) => !excluded.has(id))
  if (now - since >= BROKEN_OFF_MS) return pool
  return pool.filter(({ brokeOffAt = -Infinity }) => now - brokeOffAt >= BROKEN_OFF_MS)
}
