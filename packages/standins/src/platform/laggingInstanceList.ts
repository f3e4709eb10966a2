/** The instance list of the platform stand-in, in which changes appear with a delay. */
import type { Clock, InstanceRecord } from 'pimentoplank/shared'

const MAX_VERSIONS = 1000

interface Version {
  at: number
  records: ReadonlyMap<string, InstanceRecord>
}

export interface LaggingInstanceList {
  put: (record: InstanceRecord) => void
  remove: (id: string) => void
  /** Returns the list as it was `lagMs` milliseconds ago. */
  read: (lagMs: number) => InstanceRecord[]
}

/** Creates an empty list. */
export function createLaggingInstanceList (clock: Clock): LaggingInstanceList {
  let versions: Version[] = [{ at: Number.NEGATIVE_INFINITY, records: new Map() }]

  function addVersion (edit: (records: Map<string, InstanceRecord>) => void): void {
    const records = new Map(versions.at(-1)!.records)
    edit(records)
    versions.push({ at: clock.now(), records })
    versions = versions.slice(-MAX_VERSIONS)
  }

  function read (lagMs: number): InstanceRecord[] {
    const asOf = clock.now() - lagMs
    const visible = versions.findLast((version) => version.at <= asOf) ?? versions[0]!
    return [...visible.records.values()]
  }

  return {
    put: (record) => addVersion((records) => records.set(record.id, record)),
    remove: (id) => addVersion((records) => records.delete(id)),
    read
  }
}
