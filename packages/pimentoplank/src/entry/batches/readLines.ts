/** Splits a streamed body into lines, buffering at most one incomplete line. */
import { RefusalError } from '../../shared'

export interface Line {
  /** Line number, counted from 1. */
  number: number
  text: string
}

export interface ReadLinesOptions {
  maxBodyBytes: number
  maxLineBytes: number
}

const NEWLINE = 0x0a

/**
 * Yields the non-blank lines of a body.
 *
 * @throws RefusalError when the body or a line is too large, or when a line is not valid UTF-8
 */
export async function * readLines (
  body: AsyncIterable<Uint8Array>,
  { maxBodyBytes, maxLineBytes }: ReadLinesOptions
): AsyncGenerator<Line, void, undefined> {
  const decoder = new TextDecoder('utf-8', { fatal: true })
  let rest: Buffer = Buffer.alloc(0)
  let bodyBytes = 0
  let number = 0

  function decode (bytes: Buffer): string {
    number++
    if (bytes.length > maxLineBytes) throw lineTooLarge(number, maxLineBytes)
    try {
      return decoder.decode(bytes).trim()
    } catch (cause) {
      throw new RefusalError('badRequest', {
        detail: `line ${number} is not valid UTF-8`, field: `line ${number}`, cause
      })
    }
  }

  for await (const piece of body) {
    bodyBytes += piece.length
    if (bodyBytes > maxBodyBytes) {
      throw new RefusalError('bodyTooLarge', { detail: `the upload has more than ${maxBodyBytes} bytes` })
    }
    let bytes = rest.length === 0 ? Buffer.from(piece) : Buffer.concat([rest, piece])
    for (let end = bytes.indexOf(NEWLINE); end >= 0; end = bytes.indexOf(NEWLINE)) {
      const text = decode(bytes.subarray(0, end))
      bytes = bytes.subarray(end + 1)
      if (text !== '') yield { number, text }
    }
    if (bytes.length > maxLineBytes) throw lineTooLarge(number + 1, maxLineBytes)
    rest = bytes
  }
  const text = rest.length === 0 ? '' : decode(rest)
  if (text !== '') yield { number, text }
}

function lineTooLarge (number: number, maxLineBytes: number): RefusalError {
  const detail = `line ${number} has more than ${maxLineBytes} bytes`
  return new RefusalError('bodyTooLarge', { detail, field: `line ${number}` })
}
