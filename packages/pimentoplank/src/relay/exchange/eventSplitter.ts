/** Cuts the bytes of an event stream into whole events, without changing them. */

export interface SplitEvent {
  /** The event as it came, its closing blank line included. */
  bytes: Uint8Array
  /** Numeric id; undefined for an event without one. */
  id?: number
}

export interface EventSplitter {
  /** Takes bytes in; returns the events that are whole now. */
  push: (chunk: Uint8Array) => SplitEvent[]
  /** Bytes that belong to no whole event yet. */
  rest: () => Uint8Array
}

const LF = 0x0a
const CR = 0x0d
const ID_LINE = /^id:[ ]?(\d+)\r?$/m
const EMPTY = Buffer.alloc(0)

/** Creates a splitter for one stream. */
export function createEventSplitter (): EventSplitter {
  let rest: Buffer = EMPTY

  return {
    push: (chunk) => {
      const bytes = rest.length === 0 ? asBuffer(chunk) : Buffer.concat([rest, chunk])
      const events: SplitEvent[] = []
      let start = 0
      for (let end = eventEnd(bytes, start); end > 0; end = eventEnd(bytes, start)) {
        const event = bytes.subarray(start, end)
        const match = ID_LINE.exec(event.toString('latin1'))
        events.push({ bytes: event, id: match === null ? undefined : Number(match[1]) })
        start = end
      }
      rest = start === bytes.length ? EMPTY : bytes.subarray(start)
      return events
    },
    rest: () => rest
  }
}

function asBuffer (chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
}

/** Position behind the blank line that closes an event; 0 when it is not there yet. */
function eventEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LF, start); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    const next = bytes[at + 1]
    if (next === LF) return at + 2
    if (next === CR && bytes[at + 2] === LF) return at + 3
  }
  return 0
}

/** The data of an event: its data lines, joined by line feeds. */
export function eventData (bytes: Uint8Array): string | undefined {
  const lines = asBuffer(bytes).toString('utf8').split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice(line.startsWith('data: ') ? 6 : 5))
  return lines.length === 0 ? undefined : lines.join('\n')
}
