/** Which headers go through to a plain service and back. */

const HOP_BY_HOP = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
]
/** Meant for this system, or set anew on the way to the target. */
const OWN_REQUEST_HEADERS = ['host', 'content-length', 'authorization', 'x-no-repeat', 'x-request-id', 'x-request-timeout-ms']

export type HeaderRecord = Record<string, string | string[]>

/** Headers of a caller's request that its target gets. */
export function requestHeadersFor (given: Headers, requestId: string): Record<string, string> {
  const dropped = new Set([...HOP_BY_HOP, ...OWN_REQUEST_HEADERS, ...namedByConnection(given.get('connection'))])
  const kept = [...given].filter(([name]) => !dropped.has(name))
  return { ...Object.fromEntries(kept), 'x-request-id': requestId }
}

/** Headers of a target's answer that the caller gets. */
export function answerHeadersFor (given: Record<string, string | string[] | undefined>): HeaderRecord {
  const dropped = new Set([...HOP_BY_HOP, ...namedByConnection([given.connection].flat().join(','))])
  const kept = Object.entries(given).filter((entry): entry is [string, string | string[]] =>
    entry[1] !== undefined && !dropped.has(entry[0]))
  return Object.fromEntries(kept)
}

function namedByConnection (value: string | null): string[] {
  return (value ?? '').split(',').map((name) => name.trim().toLowerCase())
}
