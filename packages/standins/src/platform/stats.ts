/** Call statistics of the platform stand-in. */

export type Operation = 'get' | 'list' | 'put' | 'remove' | 'watch' | 'transfer'

export interface PlatformStats {
  /** Number of calls by kind and operation; a watch counts as one call. */
  calls: Record<string, Partial<Record<Operation, number>>>
  /** Number of watches currently waiting. */
  watches: number
  /** Bytes of request and response bodies. */
  bytes: number
  /** Number of calls rejected with 429. */
  rejected: number
}

export interface StatsRecorder {
  call: (kind: string, operation: Operation) => void
  bytes: (count: number) => void
  rejected: () => void
  watchStarted: () => void
  watchEnded: () => void
  read: () => PlatformStats
  /** Resets all counts to zero, except that of the waiting watches. */
  reset: () => void
}

/** Creates a recorder with all counts at zero. */
export function createStatsRecorder (): StatsRecorder {
  let stats: PlatformStats = { calls: {}, watches: 0, bytes: 0, rejected: 0 }
  return {
    call: (kind, operation) => {
      const counts = stats.calls[kind] ??= {}
      counts[operation] = (counts[operation] ?? 0) + 1
    },
    bytes: (count) => { stats.bytes += count },
    rejected: () => { stats.rejected += 1 },
    watchStarted: () => { stats.watches += 1 },
    watchEnded: () => { stats.watches -= 1 },
    read: () => structuredClone(stats),
    reset: () => { stats = { calls: {}, watches: stats.watches, bytes: 0, rejected: 0 } }
  }
}
