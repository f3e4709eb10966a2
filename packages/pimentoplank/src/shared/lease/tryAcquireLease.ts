/** Acquires, renews and releases a lease by conditional writes of one platform object. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import * as z from 'zod'
import type { Clock } from '../clock'
import { OBJECT_KINDS } from '../objects/kinds'
import { PlatformConflict, type PlatformClient, type PlatformError, type StoredObject } from '../platform'
import type { Lease, LeaseObserver, LeaseOptions } from './types'

/** Share of the lease length for which a holder considers a renewal valid; the rest covers clock drift. */
const VALID_SHARE = 0.9
/** Delay before a failed renewal is retried, as a share of the renewal interval. */
const RETRY_DELAY_SHARE = 0.25

/** Value of a lease object. */
export const leaseRecord = z.object({
  /** Process id of the holder; empty when the lease was released. */
  holder: z.string(),
  epoch: z.int().min(1),
  lengthMs: z.int().min(1)
})
export type LeaseRecord = z.infer<typeof leaseRecord>

export interface LeaseDeps {
  platform: PlatformClient
  clock: Clock
  /** Keeps the observed revisions between attempts; a process must use one observer for all its attempts. */
  observer: LeaseObserver
}

/**
 * Acquires a lease that does not exist, was released, or has expired according to the observer.
 * Call it every renewal interval while another holder has the lease: each call makes one observation.
 *
 * @param deps - platform, clock and observer of this process
 * @param options - name, holder, length and renewal interval
 * @returns the lease, renewed in the background until it is lost or released; null when another holder has it
 */
export function tryAcquireLease (deps: LeaseDeps, options: LeaseOptions): ResultAsync<Lease | null, PlatformError> {
  return new ResultAsync(acquire(deps, options))
}

async function acquire (deps: LeaseDeps, options: LeaseOptions): Promise<Result<Lease | null, PlatformError>> {
  const { platform, clock, observer } = deps
  const read = await platform.get(OBJECT_KINDS.lease, options.name)
  if (read.isErr()) return err(read.error)
  observer.observe(options.name, read.value?.revision ?? null)
  const current = parseLease(read.value)
  if (current !== undefined && !isFree(current, options, observer)) return ok(null)

  const sentAt = clock.now()
  const record = { holder: options.holder, epoch: (current?.epoch ?? 0) + 1, lengthMs: options.lengthMs }
  const ifRevision = read.value?.revision ?? 0
  const written = await platform.put(OBJECT_KINDS.lease, options.name, record, { ifRevision })
  if (written.isOk()) return ok(keepRenewing(deps, options, record, { revision: written.value.revision, sentAt }))
  return written.error instanceof PlatformConflict ? ok(null) : err(written.error)
}

/** Parses a lease object; undefined when it is absent or invalid. */
export function parseLease (object: StoredObject | null): LeaseRecord | undefined {
  return leaseRecord.safeParse(object?.value).data
}

function isFree (current: LeaseRecord, options: LeaseOptions, observer: LeaseObserver): boolean {
  if (current.holder === '' || current.holder === options.holder) return true
  return observer.hasExpired(options.name, Math.max(current.lengthMs, options.lengthMs))
}

/** The most recent successful renewal. */
interface Renewal {
  revision: number
  /** When the write was sent; no observer can have read it earlier. */
  sentAt: number
}

function keepRenewing (deps: LeaseDeps, options: LeaseOptions, record: LeaseRecord, first: Renewal): Lease {
  const { platform, clock } = deps
  const ended = new AbortController()
  let renewal = first
  const renewing = renewUntilEnded()

  /** Renews once; false when the write failed. */
  async function renew (): Promise<boolean> {
    const sentAt = clock.now()
    const written = await platform.put(OBJECT_KINDS.lease, options.name, record, { ifRevision: renewal.revision })
    if (written.isOk()) {
      renewal = { revision: written.value.revision, sentAt }
      return true
    }
    if (written.error instanceof PlatformConflict) handleConflict(written.error)
    return false
  }

  function handleConflict ({ current }: PlatformConflict): void {
    const found = parseLease(current)
    // An earlier renewal was applied although its response was lost: continue from its revision and renew again.
    const isOwnWrite = found !== undefined && found.holder === record.holder && found.epoch === record.epoch
    if (isOwnWrite) renewal = { ...renewal, revision: current!.revision }
    else ended.abort()
  }

  async function renewUntilEnded (): Promise<void> {
    let pauseMs = options.renewEveryMs
    while (!ended.signal.aborted) {
      await clock.sleep(pauseMs, ended.signal)
      if (ended.signal.aborted) return
      const renewed = await renew()
      pauseMs = renewed ? options.renewEveryMs : options.renewEveryMs * RETRY_DELAY_SHARE
    }
  }

  async function release (): Promise<void> {
    if (ended.signal.aborted) return
    ended.abort()
    await renewing
    await platform.put(OBJECT_KINDS.lease, options.name, { ...record, holder: '' }, { ifRevision: renewal.revision })
  }

  return {
    epoch: () => record.epoch,
    isHeld: () => !ended.signal.aborted && clock.now() - renewal.sentAt < options.lengthMs * VALID_SHARE,
    lost: ended.signal,
    release
  }
}
