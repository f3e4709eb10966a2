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
  recordCall: (kind: string, operation: Operation) => void
  recordBytes: (count: number) => void
  recordRejection: () => void
  recordWatchStart: () => void
  recordWatchEnd: () => void
  read: () => PlatformStats
  /** Resets all counts to zero, except that of the waiting watches. */
  reset: () => void
}

/** Creates a recorder with all counts at zero. */
export function createStatsRecorder (): StatsRecorder {
  let stats: PlatformStats = { calls: {}, watches: 0, bytes: 0, rejected: 0 }
  return {
    recordCall: (kind, operation) => {
      const counts = stats.calls[kind] ??= {}
      counts[operation] = (counts[operation] ?? 0) + 1
    },
    recordBytes: (count) => { stats.bytes += count },
    recordRejection: () => { stats.rejected += 1 },
    recordWatchStart: () => { stats.watches += 1 },
    recordWatchEnd: () => { stats.watches -= 1 },
    read: () => structuredClone(stats),
    reset: () => { stats = { calls: {}, watches: stats.watches, bytes: 0, rejected: 0 } }
  }
}
