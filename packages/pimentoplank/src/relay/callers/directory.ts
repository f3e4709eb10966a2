/** Which instances callers may use. */
import { DIRECTORY_MAX_ADDRESSES, DIRECTORY_MAX_AGE_MS, ENOUGH_NEAR_INSTANCES } from '../constants'
import type { PeerView, Stage } from '../gossip'

export interface DirectoryAnswer {
  /** IP numbers and ports, best first. */
  addresses: string[]
  maxAgeMs: number
}

export interface DirectoryOptions {
  self: { callerAddress: string, failureDomain: string, stage: () => Stage }
  peers: () => readonly PeerView[]
  /** Longest age that the operator allows, in milliseconds. */
  maxAgeMs: number
}

export interface Directory {
  /**
   * Names instances that serve, nearest first; where enough are near, only those, since callers choose any of them.
   *
   * @param failureDomain - failure domain of the caller
   */
  list: (failureDomain: string) => DirectoryAnswer
}

interface Entry {
  address: string
  failureDomain: string
  stage: Stage
}

/** Leaving instances are named only when no other is known. */
const STAGES_BY_PREFERENCE: readonly Stage[] = ['serving', 'starting', 'leaving']

/** Creates the directory of an instance. */
export function createDirectory ({ self, peers, maxAgeMs }: DirectoryOptions): Directory {
  function entries (): Entry[] {
    const own = { address: self.callerAddress, failureDomain: self.failureDomain, stage: self.stage() }
    const others = peers().map(({ report }) => ({
      address: report.callerAddress, failureDomain: report.failureDomain, stage: report.stage
    }))
    return [own, ...others].filter(({ address }) => address !== '')
  }

  return {
    list: (failureDomain) => {
      const all = entries()
      const stage = STAGES_BY_PREFERENCE.find((one) => all.some((entry) => entry.stage === one))
      const usable = all.filter((entry) => entry.stage === stage)
      const near = usable.filter((entry) => entry.failureDomain === failureDomain)
      const far = usable.filter((entry) => entry.failureDomain !== failureDomain)
      const named = near.length >= ENOUGH_NEAR_INSTANCES ? near : [...near, ...far]
      return {
        addresses: named.map(({ address }) => address).slice(0, DIRECTORY_MAX_ADDRESSES),
        maxAgeMs: Math.min(maxAgeMs, DIRECTORY_MAX_AGE_MS)
      }
    }
  }
}
