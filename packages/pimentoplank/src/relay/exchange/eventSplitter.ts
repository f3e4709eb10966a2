/** Splits the bytes of a server-sent event stream into complete events, without changing them. */

export interface SplitEvent {
  /** The unchanged event, including its closing blank line. */
  bytes: Uint8Array
  /** Numeric id; undefined if the event has none. */
  id?: number
}

export interface EventSplitter {
  /** Appends bytes; returns the events that they complete. */
  push: (chunk: Uint8Array) => SplitEvent[]
  /** Returns the bytes of the incomplete event at the end. */
  getRemainder: () => Uint8Array
}

const LF = 0x0a
const CR = 0x0d
const ID_LINE = /^id:[ ]?(\d+)\r?$/m
const EMPTY = Buffer.alloc(0)

/** Creates a splitter for one stream. */
export function createEventSplitter (): EventSplitter {
  let remainder: Buffer = EMPTY

  return {
    push: (chunk) => {
      const bytes = remainder.length === 0 ? toBuffer(chunk) : Buffer.concat([remainder, chunk])
      const events: SplitEvent[] = []
      let start = 0
      for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
        const event = bytes.subarray(start, end)
        const match = ID_LINE.exec(event.toString('latin1'))
        events.push({ bytes: event, id: match === null ? undefined : Number(match[1]) })
        start = end
      }
      remainder = start === bytes.length ? EMPTY : bytes.subarray(start)
      return events
    },
    getRemainder: () => remainder
  }
}

function toBuffer (chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
}

/**
 * Returns the position after the blank line that closes an event; 0 if it has not been received yet. A blank line
 * between two events is treated as an event without content.
 */
function findEventEnd (bytes: Buffer, start: number): number {
  if (bytes[start] === LF) return start + 1
  if (bytes[start] === CR && bytes[start + 1] === LF) return start + 2
  for (let at = bytes.indexOf(LF, start); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    const next = bytes[at + 1]
    if (next === LF) return at + 2
    if (next === CR && bytes[at + 2] === LF) return at + 3
  }
  return 0
}

/** Returns the data lines of an event, joined by line feeds; undefined if it has none. */
export function getEventData (bytes: Uint8Array): string | undefined {
  const lines = toBuffer(bytes).toString('utf8').split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice(line.startsWith('data: ') ? 6 : 5))
  return lines.length === 0 ? undefined : lines.join('\n')
}
