/** The instance list of the platform stand-in, which shows changes late. */
import type { Clock, InstanceRecord } from 'pimentoplank/shared'

const MAX_VERSIONS = 1000

interface Version {
  at: number
  records: ReadonlyMap<string, InstanceRecord>
}

export interface LaggingList {
  put: (record: InstanceRecord) => void
  remove: (id: string) => void
  /** The list as it was `lagMs` ago. */
  read: (lagMs: number) => InstanceRecord[]
}

/** Creates an empty list. */
export function createLaggingList (clock: Clock): LaggingList {
  let versions: Version[] = [{ at: Number.NEGATIVE_INFINITY, records: new Map() }]

  function change (edit: (records: Map<string, InstanceRecord>) => void): void {
    const records = new Map(versions.at(-1)!.records)
    edit(records)
    versions.push({ at: clock.now(), records })
    versions = versions.slice(-MAX_VERSIONS)
  }

  function read (lagMs: number): InstanceRecord[] {
    const asOf = clock.now() - lagMs
    const shown = versions.findLast((version) => version.at <= asOf) ?? versions[0]!
    return [...shown.records.values()]
  }

  return {
    put: (record) => change((records) => records.set(record.id, record)),
    remove: (id) => change((records) => records.delete(id)),
    read
  }
}
