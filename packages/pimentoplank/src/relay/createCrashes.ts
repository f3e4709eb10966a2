/** Crashes of targets: the tracker of an instance, which stores the parts of prompts on which targets crash. */
import { describeCause, rankByRendezvous, type Clock, type Log, type PlatformClient } from '../shared'
import type { CallerProtocol } from './callers'
import { CRASH_RETENTION_MS } from './constants'
import { createCrashingPartsStore, createCrashTracker, type CrashingPartsStore, type CrashTracker } from './live'

export interface CrashesOptions {
  /** Id of this instance. */
  self: string
  decodePromptParts: CallerProtocol['decodePromptParts']
  platform: PlatformClient
  /** Returns the ids of the instances that serve, this one included. */
  listServingInstances: () => string[]
  /** Called when something has changed that peers should know soon. */
  onChange: () => void
  clock: Clock
  log: Log
}

export interface Crashes {
  crashes: CrashTracker
  crashingPartsStore: CrashingPartsStore
}

/** Creates the tracker; the parts that were stored before are not restored yet. */
export function createCrashes (
  { self, decodePromptParts, platform, listServingInstances, onChange, clock, log }: CrashesOptions
): Crashes {
  const crashingPartsStore = createCrashingPartsStore({ platform, keepMs: CRASH_RETENTION_MS, clock, log })
  const crashes = createCrashTracker({
    keepMs: CRASH_RETENTION_MS,
    decodePromptParts,
    isProber: (key) => rankByRendezvous(key, listServingInstances(), (id) => id)[0] === self,
    onChange,
    onFound: (found) => {
      crashingPartsStore.save(found).catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'parts that crash targets could not be stored'))
    },
    clock,
    log
  })

  return { crashes, crashingPartsStore }
}
