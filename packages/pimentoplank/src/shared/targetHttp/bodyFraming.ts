/** How a response defines the end of its body: by its length, by chunks, or by the end of the connection. */
export type BodyFraming = 'length' | 'chunks' | 'connection'

const CHUNKED = /(^|,)\s*chunked\s*$/i

/**
 * Returns how a response defines the end of its body (RFC 9112, section 6.3).
 *
 * @param headers - alternating names and values
 */
export function getBodyFraming (headers: readonly string[]): BodyFraming {
  const length = findHeader(headers, 'content-length')
  const encoding = findHeader(headers, 'transfer-encoding')
  if (encoding !== undefined) return CHUNKED.test(encoding) ? 'chunks' : 'connection'
  return length === undefined ? 'connection' : 'length'
}

function findHeader (headers: readonly string[], name: string): string | undefined {
  const index = headers.findIndex((text, at) => at % 2 === 0 && text.toLowerCase() === name)
  return index < 0 ? undefined : headers[index + 1]
}
