/** Filters the headers that are forwarded to a plain service and back. */

const HOP_BY_HOP = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
]
/** Headers that are meant for this system, or set again for the target. */
const CONSUMED_REQUEST_HEADERS = [
  'host', 'content-length', 'authorization', 'x-no-repeat', 'x-request-id', 'x-request-timeout-ms'
]

export type HeaderRecord = Record<string, string | string[]>

/** Returns the headers of a caller's request that are forwarded to its target. */
export function toRequestHeaders (headers: Headers, requestId: string): Record<string, string> {
  const dropped = new Set([
    ...HOP_BY_HOP, ...CONSUMED_REQUEST_HEADERS, ...parseConnectionHeader(headers.get('connection'))
  ])
  const kept = [...headers].filter(([name]) => !dropped.has(name))
  return { ...Object.fromEntries(kept), 'x-request-id': requestId }
}

/** Returns the headers of a target's response that are forwarded to the caller. */
export function toResponseHeaders (headers: Record<string, string | string[] | undefined>): HeaderRecord {
  const dropped = new Set([...HOP_BY_HOP, ...parseConnectionHeader([headers.connection].flat().join(','))])
  const kept = Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
    entry[1] !== undefined && !dropped.has(entry[0]))
  return Object.fromEntries(kept)
}

function parseConnectionHeader (value: string | null): string[] {
  return (value ?? '').split(',').map((name) => name.trim().toLowerCase())
}
