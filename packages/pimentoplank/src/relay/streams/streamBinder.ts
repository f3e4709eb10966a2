/** Binds streams to the version at which they begin, and tells peers before callers can take them up. */
import { chooseKeepers } from '../decisions'
import type { Gossip } from '../gossip'
import type { Target } from '../model'
import type { StreamVersions } from './streamVersions'

export interface StreamBinderOptions {
  streamVersions: Pick<StreamVersions, 'begin'>
  gossip: Pick<Gossip, 'peers' | 'tellBegunStream'>
}

export interface StreamBinder {
  /**
   * Binds a stream whose first event is about to be delivered; resolves when the event may leave.
   *
   * @param target - as its entry described it when the attempt was sent there
   * @param startedAt - when the process that wrote the event started, by its own clock; undefined if not known
   */
  bind: (attempt: string, target: Target, startedAt: number | undefined) => Promise<void>
}

/** Creates the binder of an instance. */
export function createStreamBinder ({ streamVersions, gossip }: StreamBinderOptions): StreamBinder {
  return {
    bind: async (attempt, target, startedAt) => {
      const notice = streamVersions.begin(attempt, target, startedAt)
      await gossip.tellBegunStream(notice, chooseKeepers(notice.attempt, gossip.peers()))
    }
  }
}
