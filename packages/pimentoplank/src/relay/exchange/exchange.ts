/** Sends one request to one target and reads its answer. */
import type { Readable } from 'node:stream'
import { err, ok, type Result } from 'neverthrow'
import { describeCause, isConnectFailure, type SendMark } from '../../shared'
import type { AnswerHead, RawHeaders, TargetProtocol, TargetSend } from '../model'
import type { TargetConnection, TargetConnections } from './connections'

/** Why there is no usable answer. */
export type SendFailureReason =
  /** No connection could be made. */
  | 'connectFailed'
  /** The target states that it did not run the request. */
  | 'refused'
  /** Another target has the address now. */
  | 'otherTarget'
  /** The connection broke before or within the answer. */
  | 'broken'
  /** The answer belongs to another request or is no answer. */
  | 'spoiled'
  /** This side ended it. */
  | 'aborted'

export class SendFailure extends Error {
  readonly reason: SendFailureReason
  /** True when the target may have run the request. */
  readonly mayHaveRun: boolean

  constructor (reason: SendFailureReason, mayHaveRun: boolean, detail: string) {
    super(detail)
    this.name = 'SendFailure'
    this.reason = reason
    this.mayHaveRun = mayHaveRun
  }
}

/** An answer whose head is there. */
export interface TargetAnswer {
  head: AnswerHead
  /** The next bytes of the body; undefined after the last. */
  read: () => Promise<Result<Uint8Array | undefined, SendFailure>>
  /** Ends the exchange; the connection is kept only when the body was read to its end. */
  close: () => void
}

export interface Exchange {
  /**
   * Sends a request; resolves when the head of the answer is there.
   *
   * @param send - what to send, and where
   * @param signal - ends the exchange, also while the body is read
   */
  send: (send: TargetSend, signal: AbortSignal) => Promise<Result<TargetAnswer, SendFailure>>
  connections: TargetConnections
}

/** Creates the exchange of an instance with its targets. */
export function createExchange (protocol: TargetProtocol, connections: TargetConnections): Exchange {
  async function send (what: TargetSend, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
    const { request, target } = what
    const connection = connections.take(target.address)
    const mark: SendMark = { sent: false }
    try {
      const options = {
        method: request.method,
        path: request.path,
        headers: protocol.encodeHeaders(what),
        body: request.body.length > 0 ? request.body : undefined,
        responseHeaders: 'raw' as const,
        signal,
        mark
      }
      const res = await connection.marked.request(options as Parameters<typeof connection.marked.request>[0])
      const headers = res.headers as unknown as RawHeaders
      const head = protocol.decodeHead(res.statusCode, headers)
      const failure = headFailure(what, head)
      if (failure !== undefined) {
        drain(res.body, target.address, connection, failure)
        return err(failure)
      }
      return ok(answerOf(head, isFramed(headers), res.body, target.address, connection))
    } catch (cause) {
      connections.drop(connection)
      if (signal.aborted) return err(new SendFailure('aborted', mark.sent, 'ended by this side'))
      const reason = !mark.sent || isConnectFailure(cause) ? 'connectFailed' : 'broken'
      return err(new SendFailure(reason, reason === 'broken', describeCause(cause)))
    }
  }

  /** Reads the rest of a refusal, so that its connection can be kept. */
  function drain (body: Readable, address: string, connection: TargetConnection, failure: SendFailure): void {
    body.on('error', () => connections.drop(connection))
    if (failure.reason === 'spoiled') {
      body.destroy()
      connections.drop(connection)
      return
    }
    body.on('end', () => connections.keep(address, connection))
    body.resume()
  }

  function answerOf (
    head: AnswerHead,
    framed: boolean,
    body: Readable,
    address: string,
    connection: TargetConnection
  ): TargetAnswer {
    const chunks = body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array, undefined>
    let isDone = false

    async function read (): Promise<Result<Uint8Array | undefined, SendFailure>> {
      try {
        const next = await chunks.next()
        if (next.done !== true) return ok(next.value)
        // Without a length only an orderly end of the connection tells that the body is whole.
        if (!framed && connection.socket?.readableEnded !== true) {
          return err(new SendFailure('broken', true, 'the connection was reset'))
        }
        isDone = true
        return ok(undefined)
      } catch (cause) {
        return err(new SendFailure('broken', true, describeCause(cause)))
      }
    }

    return {
      head,
      read,
      close: () => {
        if (isDone && framed) {
          connections.keep(address, connection)
          return
        }
        body.on('error', () => undefined)
        body.destroy()
        connections.drop(connection)
      }
    }
  }

  return { send, connections }
}

function headFailure ({ request, target }: TargetSend, head: AnswerHead): SendFailure | undefined {
  if (head.isOtherTarget) return new SendFailure('otherTarget', false, `another target answers at ${target.address}`)
  if (head.requestId !== undefined && head.requestId !== request.id) {
    return new SendFailure('spoiled', true, `answer to another request: ${head.requestId}`)
  }
  if (head.isNotRun) return new SendFailure('refused', false, `the target refused with status ${head.status}`)
  return undefined
}

/** True when the length of the body is known from its headers or chunks. */
function isFramed (headers: RawHeaders): boolean {
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase()
    if (name === 'content-length' || name === 'transfer-encoding') return true
  }
  return false
}
