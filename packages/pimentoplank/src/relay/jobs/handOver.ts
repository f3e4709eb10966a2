/** Hands over the jobs of a stopping instance to peers, with the progress of their items. */
import { createClient } from '@connectrpc/connect'
import { describeCause, JobService, rankByRendezvous, type Log, type PeerTransports } from '../../shared'
import type { PeerView } from '../gossip'
import type { JobRegistry } from './jobRegistry'
import type { OwnedJob } from './ownedJob'

export interface HandOverOptions {
  jobRegistry: JobRegistry
  peers: () => readonly PeerView[]
  transports: PeerTransports
  log: Log
}

const HAND_OVER_TIMEOUT_MS = 1500

/** Hands every incomplete job over to a serving peer; resolves once each was accepted or refused. */
export async function handOverJobs ({ jobRegistry: registry, peers, transports, log }: HandOverOptions): Promise<void> {
  const serving = peers().filter(({ report }) => report.stage === 'serving')
  const open = [...registry.owned()].filter((job) => !job.isComplete() && !job.isEnded())
  await Promise.all(open.map(async (job) => {
    const [successor] = rankByRendezvous(job.id, serving, ({ report }) => report.instance)
    if (successor === undefined) return
    try {
      const client = createClient(JobService, transports.get(successor.report.peerAddress))
      const { taken } = await client.handOver(toHandOverRequest(job), { timeoutMs: HAND_OVER_TIMEOUT_MS })
      log.info({ job: job.id, to: successor.report.instance, taken }, 'job handed over')
    } catch (cause) {
      log.warn({
        job: job.id, to: successor.report.instance, cause: describeCause(cause)
      }, 'job could not be handed over')
    }
  }))
}

function toHandOverRequest (
  job: OwnedJob
): Parameters<ReturnType<typeof createClient<typeof JobService>>['handOver']>[0] {
  const open = [...job.openItems()].map(([item, { lastEventId, data, version, service, failures }]) => ({
    item, lastEvent: lastEventId ?? 0, text: data.join('\n'), version, service, failures
  }))
  const done = job.pendingResults().map(({ item, completed, text }) => ({ item, completed, text, finished: true }))
  return { job: job.id, epoch: job.record().epoch, progress: [...open, ...done] }
}
