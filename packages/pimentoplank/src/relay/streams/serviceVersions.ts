/** Knows which software versions each service has had, also those that served before this process started. */
import * as z from 'zod'
import {
  describeCause, hash64, PlatformConflict, SECOND_MS, type Clock, type Log, type PlatformClient
} from '../../shared'
import { FORGET_VERSION_MS, type VersionHistory } from '../decisions'
import type { Target } from '../model'

/** Object kind of the records; one object for each version of a service. */
export const SERVICE_VERSIONS_KIND = 'service-versions'

const versionRecord = z.object({
  service: z.string(),
  version: z.string(),
  /**
   * Wall clock time since which the writer knew all versions of the service, in milliseconds. Absent if it knew them
   * from the beginning.
   */
  knownSince: z.number().optional()
})

export type VersionRecord = z.infer<typeof versionRecord>

/** Decodes the content of a record; undefined if it is not valid. */
export function decodeVersionRecord (value: unknown): VersionRecord | undefined {
  return versionRecord.safeParse(value).data
}

export interface ServiceVersionsOptions {
  platform: Pick<PlatformClient, 'put' | 'listAll' | 'remove'>
  /** Returns when each version of a service was last registered, as far as this instance has followed its entries. */
  getRegistered: (service: string) => ReadonlyMap<string, number>
  /** Lists the registered targets. */
  listTargets: () => Iterable<Target>
  /** Resolves when the entries of targets were read for the first time. */
  whenListed: Promise<void>
  /** True when nothing has been served before this deployment started. */
  isFirstStart: boolean
  clock: Clock
  log: Log
}

export interface ServiceVersions {
  /** Reads the records, trying again until the platform answers. */
  load: (signal: AbortSignal) => Promise<void>
  /** Records the versions of registered targets at the platform; called after each change of an entry. */
  recordAll: () => void
  /** Resolves when the records were read, or after a time in milliseconds. */
  whenLoaded: (timeoutMs: number) => Promise<void>
  getHistory: (service: string) => Omit<VersionHistory, 'hasOutdatedEntries'>
}

/** Pause between two tries to read or write records, in milliseconds. */
const RETRY_MS = SECOND_MS

/** Creates the knowledge of an instance. */
export function createServiceVersions (options: ServiceVersionsOptions): ServiceVersions {
  const { platform, getRegistered, listTargets, isFirstStart, clock, log } = options
  /** Versions of each service that the platform has a record of, as far as known. */
  const recorded = new Map<string, Set<string>>()
  /** The part of them that was there when this instance started. */
  const loaded = new Map<string, Set<string>>()
  /** Wall clock time since which all versions of a service are known, unless they are known from its beginning. */
  const knownSince = new Map<string, number>()
  const writing = new Set<string>()
  const closing = new AbortController()
  let loadedAt: number | undefined
  let markLoaded: () => void
  const whenLoaded = new Promise<void>((resolve) => { markLoaded = resolve })

  async function load (signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => closing.abort())
    await options.whenListed
    for (;;) {
      if (signal.aborted) return
      const listed = await platform.listAll(SERVICE_VERSIONS_KIND)
      if (listed.isOk()) {
        for (const { value } of listed.value.items) addLoaded(value)
        break
      }
      log.warn({ cause: describeCause(listed.error) }, 'versions of services could not be read')
      await clock.sleep(RETRY_MS, signal)
    }
    for (const { service, version } of listTargets()) {
      // A version without a record has served before, and others that are gone may have had none either.
      const isGap = !has(loaded, service, version) && (!isFirstStart || loaded.has(service))
      if (isGap) knownSince.set(service, clock.wallTime())
    }
    loadedAt = clock.now()
    log.info({
      versions: Object.fromEntries([...loaded].map(([service, versions]) => [service, [...versions]])),
      knownSince: Object.fromEntries(knownSince)
    }, 'versions of services are known')
    markLoaded()
    recordAll()
  }

  function addLoaded (value: unknown): void {
    const record = decodeVersionRecord(value)
    if (record === undefined) return
    const { service, version, knownSince: since } = record
    if (since !== undefined) knownSince.set(service, Math.max(since, knownSince.get(service) ?? -Infinity))
    add(loaded, service, version)
    add(recorded, service, version)
  }

  function recordAll (): void {
    if (loadedAt === undefined) return
    for (const { service, version } of listTargets()) {
      if (has(recorded, service, version)) continue
      const name = toRecordName(service, version)
      if (writing.has(name)) continue
      writing.add(name)
      record(service, version).catch((cause: unknown) => {
        log.error({ service, version, cause: describeCause(cause) }, 'version of a service could not be recorded')
      }).finally(() => writing.delete(name))
      removeOldRecords(service)
    }
  }

  async function record (service: string, version: string): Promise<void> {
    while (!closing.signal.aborted) {
      const value = { service, version, knownSince: knownSince.get(service) }
      const written = await platform.put(
        SERVICE_VERSIONS_KIND, toRecordName(service, version), value, { ifRevision: 0 }
      )
      // A peer may have recorded it before.
      if (written.isOk() || written.error instanceof PlatformConflict) {
        add(recorded, service, version)
        log.info({ service, version }, 'version of a service is recorded')
        return
      }
      log.warn({ service, version, cause: describeCause(written.error) }, 'version of a service is not recorded yet')
      await clock.sleep(RETRY_MS, closing.signal)
    }
  }

  /** Keeps the number of records small over many releases. */
  function removeOldRecords (service: string): void {
    const { versions } = getHistory(service)
    for (const [version, lastAt] of versions) {
      if (clock.now() - lastAt <= FORGET_VERSION_MS) continue
      recorded.get(service)?.delete(version)
      loaded.get(service)?.delete(version)
      platform.remove(SERVICE_VERSIONS_KIND, toRecordName(service, version)).match(
        () => log.info({ service, version }, 'record of an old version is removed'),
        (cause) => log.warn({ service, version, cause: describeCause(cause) }, 'record of an old version could not be removed')
      ).catch(() => undefined)
    }
  }

  function getHistory (service: string): Omit<VersionHistory, 'hasOutdatedEntries'> {
    const versions = getRegistered(service)
    if (loadedAt === undefined) return { knownSince: Infinity, versions }
    const before = [...loaded.get(service) ?? []].map((version): [string, number] => [version, loadedAt!])
    return {
      knownSince: clock.now() - (clock.wallTime() - (knownSince.get(service) ?? -Infinity)),
      versions: new Map([...before, ...versions])
    }
  }

  return {
    load,
    recordAll,
    whenLoaded: async (timeoutMs) => {
      if (loadedAt === undefined) await Promise.race([whenLoaded, clock.sleep(timeoutMs, closing.signal)])
    },
    getHistory
  }
}

function toRecordName (service: string, version: string): string {
  return `${hash64(service).toString(16)}-${hash64(version).toString(16)}`
}

function add (map: Map<string, Set<string>>, service: string, version: string): void {
  const versions = map.get(service) ?? new Set()
  versions.add(version)
  map.set(service, versions)
}

function has (map: ReadonlyMap<string, ReadonlySet<string>>, service: string, version: string): boolean {
  return map.get(service)?.has(version) === true
}
