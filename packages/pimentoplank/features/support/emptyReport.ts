/** A report of an instance that knows and runs nothing. */
import type { Report } from '../../src/relay/gossip'

/** Creates the report; the fields that a test is about replace the empty ones. */
export function createEmptyReport (
  fields: Pick<Report, 'instance' | 'failureDomain' | 'peerAddress'> & Partial<Report>
): Report {
  return {
    incarnation: 1,
    sequence: 1,
    stage: 'serving',
    callerAddress: '',
    region: 'r',
    uses: new Map(),
    waiting: [],
    knownPeers: [],
    jobs: [],
    suspects: new Set(),
    unreached: new Set(),
    isCutOff: false,
    limits: [],
    streams: [],
    areStreamsBegun: true,
    leaving: [],
    configRevision: 1,
    openJobs: new Map(),
    crashes: [],
    crashingParts: [],
    answeredParts: [],
    ...fields
  }
}
