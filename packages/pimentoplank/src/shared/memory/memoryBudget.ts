/** Budget for the memory that all callers together make the process keep. */
import { KIB_BYTES } from '../constants'
import type { Clock } from '../clock'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { findEvictions, type MemoryHolding } from './evictions'

/** Holdings over this size are large, in bytes. */
export const LARGE_HOLDING_BYTES = 64 * KIB_BYTES
/** Share of the budget that large holdings may use, so that ordinary requests fit in the rest. */
export const LARGE_HOLDINGS_SHARE = 0.75
/** A holding without progress for this long may be evicted, in milliseconds. */
export const MIN_STALL_MS = 500
/** Bytes of a body or an answer that count as progress; a trickle doesn't. */
export const PROGRESS_BYTES = 16 * KIB_BYTES

export interface MemoryBudgetOptions {
  /** Size of the budget, in bytes. */
  totalBytes: number
  clock: Pick<Clock, 'now'>
  metrics?: Pick<Metrics, 'count'>
  log: Pick<Log, 'warn'>
}

export interface MemoryAccountOptions {
  /** What the memory is used for, for logs and metrics. */
  kind: string
  /** Request, job or connection that it belongs to. */
  id?: string
  /**
   * Releases the memory at once, as others need it; called at most once. Accounts without this function are never
   * evicted.
   */
  evict?: () => void
}

/** The part of the budget that one request, answer or job uses. */
export interface MemoryAccount {
  /**
   * Sets the size of the holding.
   *
   * @param bytes - the new size in all, in bytes
   * @returns false if there is no room, which leaves the size as it was, and after the account was evicted or closed
   */
  resize: (bytes: number) => boolean
  /**
   * Counts memory that is in use already, also beyond the budget, and makes room for it if others can give way.
   *
   * @param bytes - the new size in all, in bytes
   */
  charge: (bytes: number) => void
  /** Replaces the function that releases the memory; without it, the account stays. Counts as progress. */
  setEvict: (evict: (() => void) | undefined) => void
  /** Records progress of a noteworthy size, such as `PROGRESS_BYTES` more of a body. */
  recordProgress: () => void
  /** Returns the memory to the budget; may be called more than once. */
  close: () => void
}

export interface MemoryBudget {
  /** Opens an account without any bytes. */
  open: (options: MemoryAccountOptions) => MemoryAccount
  /** Returns the bytes in use. */
  usedBytes: () => number
  /** Changes the size of the budget, in bytes; what is in use stays. */
  setTotalBytes: (bytes: number) => void
}

interface Holding extends MemoryHolding, MemoryAccountOptions {
  isOpen: boolean
}

/** Creates the budget of a process. */
export function createMemoryBudget (options: MemoryBudgetOptions): MemoryBudget {
  const { clock, metrics, log } = options
  /** Open accounts that can be evicted, those whose progress is longest ago first. */
  const evictable = new Set<Holding>()
  let { totalBytes } = options
  let usedBytes = 0
  let usedLargeBytes = 0

  function setBytes (holding: Holding, bytes: number): void {
    usedBytes += bytes - holding.bytes
    usedLargeBytes += countLarge(bytes) - countLarge(holding.bytes)
    holding.bytes = bytes
  }

  function resize (holding: Holding, bytes: number): boolean {
    if (!holding.isOpen) return false
    if (bytes > holding.bytes && !makeRoom(holding, bytes)) {
      metrics?.count('memory.refused')
      return false
    }
    setBytes(holding, bytes)
    return true
  }

  function charge (holding: Holding, bytes: number): void {
    if (!resize(holding, bytes) && holding.isOpen) setBytes(holding, bytes)
  }

  function setEvict (holding: Holding, newEvict: (() => void) | undefined): void {
    holding.evict = newEvict
    if (newEvict === undefined || !holding.isOpen) evictable.delete(holding)
    else evictable.add(holding)
    recordProgress(holding)
  }

  function makeRoom (holding: Holding, bytes: number): boolean {
    const now = clock.now()
    const evictions = findEvictions(evictable, {
      requester: holding,
      missingBytes: usedBytes + bytes - holding.bytes - totalBytes,
      missingLargeBytes: bytes > LARGE_HOLDING_BYTES
        ? usedLargeBytes + bytes - countLarge(holding.bytes) - totalBytes * LARGE_HOLDINGS_SHARE
        : 0,
      largeHoldingBytes: LARGE_HOLDING_BYTES,
      stalledSince: now - MIN_STALL_MS
    })
    evictions?.forEach((one) => evict(one as Holding, now))
    return evictions !== undefined
  }

  function evict (holding: Holding, now: number): void {
    const { kind, id, bytes, progressAt } = holding
    close(holding)
    metrics?.count('memory.evicted')
    log.warn({ kind, id, bytes, stalledMs: Math.round(now - progressAt), usedBytes, totalBytes }, 'evicted to free memory')
    holding.evict!()
  }

  function close (holding: Holding): void {
    if (!holding.isOpen) return
    setBytes(holding, 0)
    holding.isOpen = false
    evictable.delete(holding)
  }

  function recordProgress (holding: Holding): void {
    holding.progressAt = clock.now()
    // Keeps the order of the set.
    if (evictable.delete(holding)) evictable.add(holding)
  }

  return {
    open: (account) => {
      const holding: Holding = { ...account, bytes: 0, progressAt: clock.now(), isOpen: true }
      if (account.evict !== undefined) evictable.add(holding)
      return {
        resize: (bytes) => resize(holding, bytes),
        charge: (bytes) => charge(holding, bytes),
        setEvict: (evict) => setEvict(holding, evict),
        recordProgress: () => recordProgress(holding),
        close: () => close(holding)
      }
    },
    usedBytes: () => usedBytes,
    setTotalBytes: (bytes) => { totalBytes = bytes }
  }
}

function countLarge (bytes: number): number {
  return bytes > LARGE_HOLDING_BYTES ? bytes : 0
}
