/** Directory of the instances that callers can use. */
import { DIRECTORY_MAX_ADDRESSES, DIRECTORY_MAX_AGE_MS, MIN_LOCAL_INSTANCES, MIN_REACHING_SHARE } from '../constants'
import type { PeerView, Stage } from '../gossip'

export interface DirectoryAnswer {
  /** IP addresses with ports, in order of preference. */
  addresses: string[]
  /** Time for which the answer may be cached, in milliseconds. */
  maxAgeMs: number
}

export interface DirectoryOptions {
  self: { callerAddress: string, failureDomain: string, stage: () => Stage, isCutOff: () => boolean }
  peers: () => readonly PeerView[]
  /** Upper limit for the caching time, set by the operator, in milliseconds. */
  maxAgeMs: number
}

export interface Directory {
  /**
   * Lists serving instances, those of the caller's failure domain first. If there are enough of these, only they are
   * listed, since callers choose any address of the list.
   *
   * @param failureDomain - failure domain of the caller
   */
  list: (failureDomain: string) => DirectoryAnswer
}

interface Entry {
  address: string
  failureDomain: string
  stage: Stage
  /** True while it has lost its path to targets. */
  isCutOff: boolean
}

/** Leaving instances are listed only if there is no other. */
const STAGES_BY_PREFERENCE: readonly Stage[] = ['serving', 'starting', 'leaving']

/** Instances that reach targets; all where these are so few that the callers of all would be too many for them. */
function preferReaching (entries: Entry[]): Entry[] {
  const reaching = entries.filter(({ isCutOff }) => !isCutOff)
  return reaching.length < entries.length * MIN_REACHING_SHARE ? entries : reaching
}

/** Creates the directory of an instance. */
export function createDirectory ({ self, peers, maxAgeMs }: DirectoryOptions): Directory {
  function listEntries (): Entry[] {
    const own = {
      address: self.callerAddress, failureDomain: self.failureDomain, stage: self.stage(), isCutOff: self.isCutOff()
    }
    const others = peers().map(({ report }) => ({
      address: report.callerAddress,
      failureDomain: report.failureDomain,
      stage: report.stage,
      isCutOff: report.isCutOff
    }))
    return [own, ...others].filter(({ address }) => address !== '')
  }

  return {
    list: (failureDomain) => {
      const all = listEntries()
      const stage = STAGES_BY_PREFERENCE.find((one) => all.some((entry) => entry.stage === one))
      const usable = preferReaching(all.filter((entry) => entry.stage === stage))
      const near = usable.filter((entry) => entry.failureDomain === failureDomain)
      const far = usable.filter((entry) => entry.failureDomain !== failureDomain)
      const listed = near.length >= MIN_LOCAL_INSTANCES ? near : [...near, ...far]
      return {
        addresses: listed.map(({ address }) => address).slice(0, DIRECTORY_MAX_ADDRESSES),
        maxAgeMs: Math.min(maxAgeMs, DIRECTORY_MAX_AGE_MS)
      }
    }
  }
}
