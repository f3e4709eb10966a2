/** Reads which software versions a service has now, as the entries known here may be behind. */
import { describeCause, type Clock, type Log, type PlatformClient } from '../../shared'
import type { CurrentVersions } from '../decisions'
import type { StateCall } from '../exchange'
import type { Target } from '../model'
import { decodeVersionRecord, SERVICE_VERSIONS_KIND } from './serviceVersions'
import { shareCalls } from './shareCalls'

export interface CurrentVersionsOptions {
  platform: Pick<PlatformClient, 'listAll'>
  /** Kind and decoder of the entries of targets. */
  entries: { kind: string, decode: (id: string, value: unknown) => Target | undefined }
  callState: StateCall
  clock: Clock
  log: Log
}

/**
 * Reads the versions of a service from the platform and asks its targets for their processes, both after the call;
 * undefined if the platform does not tell.
 */
export type ReadCurrentVersions = (service: string) => Promise<CurrentVersions | undefined>

/** Shortest time between two reads for a service, in milliseconds. */
const READ_INTERVAL_MS = 100
/** Longest wait for targets to tell their processes, in milliseconds; a silent one must not hold up all streams. */
const ASK_TIMEOUT_MS = 100
/** Maximum of targets that are asked for one read. */
const MAX_ASKED = 64

/** Creates the reader of an instance. */
export function createCurrentVersions (options: CurrentVersionsOptions): ReadCurrentVersions {
  const { platform, entries, callState, clock, log } = options
  const reads = new Map<string, () => Promise<CurrentVersions | undefined>>()

  async function readNow (service: string): Promise<CurrentVersions | undefined> {
    const [listed, records] = await Promise.all([
      platform.listAll(entries.kind), platform.listAll(SERVICE_VERSIONS_KIND)
    ])
    if (listed.isErr() || records.isErr()) {
      const cause = listed.isErr() ? listed.error : records._unsafeUnwrapErr()
      log.warn({ service, cause: describeCause(cause) }, 'current versions of a service could not be read')
      return undefined
    }
    const targets = listed.value.items.flatMap(({ name, value }) => entries.decode(name, value) ?? [])
      .filter((target) => target.service === service)
    const recorded = records.value.items.flatMap(({ value }) => decodeVersionRecord(value) ?? [])
      .filter((record) => record.service === service)
    return {
      registered: new Set(targets.map(({ version }) => version)),
      recorded: new Set(recorded.map(({ version }) => version)),
      hasOtherProcess: await hasOtherProcess(targets)
    }
  }

  /** True if another process answers than the one that the entry of its target describes. */
  async function hasOtherProcess (targets: readonly Target[]): Promise<boolean> {
    let isFound = false
    const asked = targets.filter(({ startedAt }) => startedAt !== undefined).slice(0, MAX_ASKED)
    const answers = asked.map(async (target) => {
      const answer = await callState(target.address)
      if (answer.type !== 'process' || answer.startedAt === undefined || answer.startedAt === target.startedAt) return
      isFound = true
      log.info({ target: target.id, listed: target.startedAt, found: answer.startedAt }, 'entry of the target is out of date')
    })
    const over = new AbortController()
    await Promise.race([Promise.all(answers), clock.sleep(ASK_TIMEOUT_MS, over.signal)])
    over.abort()
    return isFound
  }

  return async (service) => {
    const read = reads.get(service) ??
      shareCalls(async () => await readNow(service), { windowMs: READ_INTERVAL_MS, clock })
    reads.set(service, read)
    return await read()
  }
}
