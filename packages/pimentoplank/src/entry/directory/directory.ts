/** Directory of the instances that a caller should connect to. */
import { rankByRendezvous, type Instance, type MembershipView } from '../../shared'
import type { EntrySettings } from '../settings'

/** Largest share of a response for the nearest failure domain, so that other addresses remain when it is lost. */
const NEAREST_SHARE = 0.75

export interface DirectoryOptions {
  self: EntrySettings['instance']
  settings: EntrySettings['directory']
  membership: MembershipView
  isLeaving: () => boolean
}

export interface DirectoryEntry {
  id: string
  /** IP address and port to connect to. */
  address: string
  failureDomain: string
  region: string
}

export interface DirectoryResponse {
  instances: DirectoryEntry[]
  /** How long the response may be cached, in milliseconds. */
  maxAgeMs: number
}

export interface Directory {
  /**
   * Lists instances for a client account, those of the nearest failure domain first.
   *
   * @param account - name of the account; accounts are spread over the instances of a failure domain
   * @param failureDomain - failure domain of the caller; that of this instance when absent
   */
  list: (account: string, failureDomain?: string) => DirectoryResponse
}

/** Creates the directory of an instance. */
export function createDirectory (options: DirectoryOptions): Directory {
  const { self, settings, membership } = options

  function list (account: string, failureDomain = self.failureDomain): DirectoryResponse {
    const serving = membership.instances('entry').filter((instance) => instance.id !== self.id || !options.isLeaving())
    const ranked = rankByRendezvous(account, serving, (instance) => instance.id)
    const region = ranked.find((instance) => instance.failureDomain === failureDomain)?.region ?? self.region
    const near = ranked.filter((instance) => instance.failureDomain === failureDomain)
    const far = ranked.filter((instance) => instance.failureDomain !== failureDomain)
    const sameRegion = far.filter((instance) => instance.region === region)
    const otherRegions = far.filter((instance) => instance.region !== region)
    const others = [...sameRegion, ...otherRegions]
    const nearCount = Math.max(Math.ceil(settings.maxInstances * NEAREST_SHARE), settings.maxInstances - others.length)
    const chosen = [...near.slice(0, nearCount), ...others].slice(0, settings.maxInstances)
    return { instances: chosen.map(toDirectoryEntry), maxAgeMs: settings.maxAgeMs }
  }

  return { list }
}

function toDirectoryEntry ({ id, address, failureDomain, region }: Instance): DirectoryEntry {
  return { id, address, failureDomain, region }
}
