/**
 * Process evidence: whether the process of a target has gone, by what calls for its state have shown.
 *
 * Load pattern: connections of some instances are accepted and reset, or refused, while the process at the other end
 * goes on; the same happens to all instances when it crashes. It may be back at its address after milliseconds.
 */

/** What one call for the state of a target has shown. */
export type ProcessView =
  /** A process answered, `isDirect` without a peer; `startedAt` is undefined if it does not tell its start. */
  | { type: 'process', startedAt: number | undefined, isDirect?: boolean }
  /** No connection was established; `isPathSound` says that another target answered over the same path. */
  | { type: 'nothing', isPathSound: boolean }
  /** The connection ended without an answer, or none came in time. */
  | { type: 'unclear' }

export type ProcessFate = 'gone' | 'alive' | 'unclear'

/**
 * Decides whether a process has gone.
 *
 * @param views - what the calls have shown that began after the event in question
 * @param starts - starts that are known of the process, in milliseconds by its own clock; empty if none is
 */
export function decideProcessFate (views: readonly ProcessView[], starts: readonly number[]): ProcessFate {
  const seen = views.filter((view) => view.type === 'process')
  const isOther = ({ startedAt }: { startedAt: number | undefined }): boolean =>
    startedAt !== undefined && starts.length > 0 && !starts.includes(startedAt)
  if (seen.length > 0) return seen.some(isOther) ? 'gone' : 'alive'
  return views.some((view) => view.type === 'nothing' && view.isPathSound) ? 'gone' : 'unclear'
}
