/** Crashes of targets: the tracker of an instance, which stores the parts of prompts on which targets crash. */
import { describeCause, rankByRendezvous, type Clock, type Log, type Metrics, type PlatformClient } from '../shared'
import type { CallerProtocol } from './callers'
import { CRASH_RETENTION_MS } from './constants'
import type { ViewProcess } from './exchange'
import type { Gossip } from './gossip'
import {
  createCrashChecks, createCrashingPartsStore, createCrashTracker, type CrashingPartsStore, type CrashTracker
} from './live'
import type { TargetDirectory } from './targets'

export interface CrashesOptions {
  /** Id of this instance. */
  self: string
  decodePromptParts: CallerProtocol['decodePromptParts']
  platform: PlatformClient
  gossip: Pick<Gossip, 'peers'>
  targets: Pick<TargetDirectory, 'get'>
  viewProcess: ViewProcess
  /** Called when something has changed that peers should know soon. */
  onChange: () => void
  /** Aborts once this instance has closed. */
  closed: AbortSignal
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface Crashes {
  crashes: CrashTracker
  crashingPartsStore: CrashingPartsStore
}

/** Creates the tracker; the parts that were stored before are not restored yet. */
export function createCrashes (options: CrashesOptions): Crashes {
  const { self, platform, gossip, targets, viewProcess, closed, clock, metrics, log } = options
  const crashingPartsStore = createCrashingPartsStore({ platform, keepMs: CRASH_RETENTION_MS, clock, log })
  const crashes = createCrashTracker({
    keepMs: CRASH_RETENTION_MS,
    decodePromptParts: options.decodePromptParts,
    checks: createCrashChecks({ viewProcess, getTarget: targets.get, closed, clock, metrics, log }),
    isProber: (key, { probe, turn }) => {
      const ranked = rankByRendezvous(`${key} ${probe}`, listServingInstances(), (id) => id)
      return ranked[turn % ranked.length] === self
    },
    onChange: options.onChange,
    onFound: (found) => {
      crashingPartsStore.save(found).catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'parts that crash targets could not be stored'))
    },
    clock,
    log
  })

  /** Lists the instances that serve, this one included. */
  function listServingInstances (): string[] {
    const serving = gossip.peers().filter(({ report }) => report.stage === 'serving')
    return [self, ...serving.map(({ report }) => report.instance)]
  }

  return { crashes, crashingPartsStore }
}
