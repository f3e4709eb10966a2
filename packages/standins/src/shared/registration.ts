/** Keeps a stand-in's entry in the instance list of the platform stand-in. */
import { request } from 'undici'
import type { InstanceRecord } from 'pimentoplank/shared'

/** Adds or replaces an entry of the instance list. */
export async function putInstance (platformUrl: string, record: InstanceRecord): Promise<void> {
  const res = await request(instanceUrl(platformUrl, record.id), {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(record)
  })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`the platform stand-in refused the instance: ${res.statusCode}`)
}

/** Removes an entry of the instance list. */
export async function removeInstance (platformUrl: string, id: string): Promise<void> {
  const res = await request(instanceUrl(platformUrl, id), { method: 'DELETE' })
  await res.body.dump()
}

function instanceUrl (platformUrl: string, id: string): string {
  return `${platformUrl.replace(/\/$/, '')}/_control/instances/${encodeURIComponent(id)}`
}
