/** Decides which holdings give way when memory is short. */

export interface MemoryHolding {
  /** Size, in bytes. */
  bytes: number
  /** Time of the latest progress, on the monotonic clock in milliseconds. */
  progressAt: number
}

export interface Shortage {
  /** The holding that is to grow. */
  requester: MemoryHolding
  /** Bytes missing in all; not above 0 if there is room. */
  missingBytes: number
  /** Bytes missing in the share of large holdings; not above 0 if there is room. */
  missingLargeBytes: number
  /** Holdings over this size are large, in bytes. */
  largeHoldingBytes: number
  /** Holdings whose progress is not later may be evicted, on the monotonic clock in milliseconds. */
  stalledSince: number
}

/**
 * Finds the holdings that have made no progress for longest and together free what is missing.
 *
 * @param holdings - those that can be evicted, in the order of their progress
 * @returns the holdings to evict; undefined if the requester has to be refused, since the others go on or are not
 *   stalled for longer
 */
export function findEvictions (holdings: Iterable<MemoryHolding>, shortage: Shortage): MemoryHolding[] | undefined {
  const { requester, largeHoldingBytes, stalledSince } = shortage
  let { missingBytes, missingLargeBytes } = shortage
  const evictions: MemoryHolding[] = []
  if (missingBytes <= 0 && missingLargeBytes <= 0) return evictions
  for (const holding of holdings) {
    if (holding.bytes === 0) continue
    if (holding === requester || holding.progressAt > stalledSince) return undefined
    const isLarge = holding.bytes > largeHoldingBytes
    if (missingBytes <= 0 && !isLarge) continue
    evictions.push(holding)
    missingBytes -= holding.bytes
    if (isLarge) missingLargeBytes -= holding.bytes
    if (missingBytes <= 0 && missingLargeBytes <= 0) return spareHoldings(evictions, shortage, -missingBytes)
  }
  return undefined
}

/** Spares small holdings that came before the large ones and are more than what is missing. */
function spareHoldings (evictions: MemoryHolding[], shortage: Shortage, excessBytes: number): MemoryHolding[] {
  let leftBytes = excessBytes
  return evictions.filter(({ bytes }) => {
    if (bytes > shortage.largeHoldingBytes || bytes > leftBytes) return true
    leftBytes -= bytes
    return false
  })
}
