/** Registers stand-ins in the instance list of the platform stand-in. */
import { request } from 'undici'
import type { InstanceRecord } from 'pimentoplank/shared'

/** Adds or replaces an entry in the instance list; throws when the platform stand-in rejects it. */
export async function registerInstance (platformUrl: string, record: InstanceRecord): Promise<void> {
  const res = await request(createInstanceUrl(platformUrl, record.id), {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(record)
  })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`instance not registered: expected status 200, got ${res.statusCode}`)
}

/** Removes an entry from the instance list. */
export async function deregisterInstance (platformUrl: string, id: string): Promise<void> {
  const res = await request(createInstanceUrl(platformUrl, id), { method: 'DELETE' })
  await res.body.dump()
}

function createInstanceUrl (platformUrl: string, id: string): string {
  return `${platformUrl.replace(/\/$/, '')}/_control/instances/${encodeURIComponent(id)}`
}
