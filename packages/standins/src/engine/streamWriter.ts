/** Writes a stream to a connection, as server-sent events or as a single JSON body when it ends. */
import type { ServerResponse } from 'node:http'
import { breakOffResponse, setFraming } from '../shared'
import type { EngineFaults } from './faults'
import type { Stream, StreamEndReason, StreamReader } from './stream'
import { countTokens } from './answer'

const HTTP_OK = 200
const MS_PER_SECOND = 1000
const PARTIAL_EVENT = 'data: {"id":'

export interface WriterOptions {
  res: ServerResponse
  /** True while the connection must not carry any data. */
  isSilent: () => boolean
  /** Returns the faults in force, of which those of framing and cut connections apply here. */
  getFaults: () => EngineFaults
  getSoftwareVersion: () => string | undefined
}

/** Forwards a stream to a connection. */
export interface StreamWriter extends StreamReader {
  /** Binds the writer to its stream; an event writer also sends the headers. */
  open: (stream: Stream) => void
}

/** Creates a writer that sends server-sent events. */
export function createEventWriter ({ res, isSilent, getFaults, getSoftwareVersion }: WriterOptions): StreamWriter {
  let stream: Stream
  let createdS = 0
  let sentTokens = 0
  let isCut = false

  function send (text: string): void {
    if (!isSilent() && !res.destroyed && !isCut) res.write(text)
  }

  function cut (by?: 'close' | 'reset'): void {
    isCut = true
    if (by === undefined) res.destroy()
    else breakOffResponse(res, PARTIAL_EVENT, by)
  }

  return {
    open: (opened) => {
      stream = opened
      createdS = Math.floor(Date.now() / MS_PER_SECOND)
      if (isSilent()) return
      setFraming(res, getFaults().framing ?? 'chunks')
      const version = getSoftwareVersion()
      res.writeHead(HTTP_OK, {
        ...(version === undefined ? {} : { 'x-software-version': version }),
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-stream-id': stream.id
      })
      res.flushHeaders()
    },
    onToken: (_, text) => {
      send(formatEvent(stream, createdS, text, null))
      sentTokens += 1
      const { cutAfterTokens = 0, cutInEventBy } = getFaults()
      if (cutAfterTokens > 0 && sentTokens >= cutAfterTokens && !isCut) cut(cutInEventBy ?? undefined)
    },
    onEnd: (reason) => {
      if (isSilent() || isCut) return
      if (reason !== 'done') {
        res.destroy()
        return
      }
      send(formatEvent(stream, createdS, '', 'length') + 'data: [DONE]\n\n')
      res.end()
    }
  }
}

/** Creates a writer that sends a single JSON body when the stream ends. */
export function createBodyWriter ({ res, isSilent }: WriterOptions): StreamWriter {
  let stream: Stream
  const texts: string[] = []
  return {
    open: (opened) => { stream = opened },
    onToken: (_, text) => { texts.push(text) },
    onEnd: (reason: StreamEndReason) => {
      if (isSilent()) return
      if (reason !== 'done') {
        res.destroy()
        return
      }
      const choice = stream.req.kind === 'chat'
        ? { index: 0, message: { role: 'assistant', content: texts.join('') }, finish_reason: 'length' }
        : { index: 0, text: texts.join(''), finish_reason: 'length' }
      const created = Math.floor(Date.now() / MS_PER_SECOND)
      const object = stream.req.kind === 'chat' ? 'chat.completion' : 'text_completion'
      const body = { ...createHeader(stream, created), object, choices: [choice], usage: computeUsage(stream) }
      res.writeHead(HTTP_OK, { 'content-type': 'application/json', 'x-stream-id': stream.id })
      res.end(JSON.stringify(body))
    }
  }
}

function formatEvent (stream: Stream, created: number, text: string, finish: string | null): string {
  const body = stream.req.kind === 'chat' ? { delta: { content: text } } : { text }
  const event = {
    ...createHeader(stream, created),
    choices: [{ index: 0, ...body, finish_reason: finish }],
    ...(finish === null ? {} : { usage: computeUsage(stream) })
  }
  return `data: ${JSON.stringify(event)}\n\n`
}

function createHeader (
  stream: Stream,
  created: number
): { id: string, object: string, created: number, model: string } {
  const object = stream.req.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion'
  return { id: stream.id, object, created, model: stream.req.model }
}

function computeUsage (stream: Stream): { prompt_tokens: number, completion_tokens: number } {
  return { prompt_tokens: countTokens(stream.req.prompt.length), completion_tokens: stream.tokens }
}
