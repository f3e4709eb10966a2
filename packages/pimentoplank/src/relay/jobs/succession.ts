/** Tells which instance takes over the jobs of another one. */
import { rankByRendezvous } from '../../shared'
import type { PeerView } from '../gossip'

export interface SuccessionOptions {
  self: string
  peers: () => readonly PeerView[]
}

export interface Succession {
  /** True if the instance is heard and does not leave. */
  isAlive: (instance: string) => boolean
  /** True if this instance takes over the jobs of one that is not alive: of those that are heard, exactly one does. */
  isSuccessorOf: (owner: string) => boolean
}

export function createSuccession ({ self, peers }: SuccessionOptions): Succession {
  return {
    isAlive: (instance) => instance === self ||
      peers().some(({ report }) => report.instance === instance && report.stage !== 'leaving'),
    isSuccessorOf: (owner) => {
      const alive = peers().filter(({ report }) => report.stage === 'serving').map(({ report }) => report.instance)
      return rankByRendezvous(owner, [self, ...alive], (id) => id)[0] === self
    }
  }
}
