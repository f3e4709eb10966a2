/** Sends one request to one target and reads its answer. */
import { err, ok, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { describeCause, isConnectFailure, type Clock, type SendMark } from '../../shared'
import type { AnswerHead, RawHeaders, TargetProtocol, TargetSend } from '../model'
import type { TargetConnection, TargetConnections } from './connections'
import { createIncoming, type Incoming } from './incoming'

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
  /** A kept connection turned out to be reset as the request was written to it. */
  | 'staleConnection'
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
export function createExchange (protocol: TargetProtocol, connections: TargetConnections, clock: Clock): Exchange {
  async function send (what: TargetSend, signal: AbortSignal): Promise<Result<TargetAnswer, SendFailure>> {
    const { request, target } = what
    if (signal.aborted) return err(new SendFailure('aborted', false, 'ended by this side'))
    const connection = connections.take(target.address)
    const mark: SendMark = { sent: false }
    const incoming = createIncoming()
    const abort = (): void => {
      connections.drop(connection)
      incoming.fail(new Error('ended by this side'))
    }
    signal.addEventListener('abort', abort)
    const release = (): void => signal.removeEventListener('abort', abort)
    const options = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: protocol.encodeHeaders(what),
      body: request.body.length > 0 ? request.body : null,
      mark
    }
    const sentAt = clock.now()
    connection.marked(options, incoming.handler)
    const started = await incoming.head()
    if (started.isErr()) {
      release()
      connections.drop(connection)
      if (signal.aborted) return err(new SendFailure('aborted', mark.sent, 'ended by this side'))
      const reason = breakReason(connection, mark, started.error, clock.now() - sentAt)
      if (reason === 'staleConnection') connections.noteStale(connection)
      return err(new SendFailure(reason, reason !== 'connectFailed', describeCause(started.error)))
    }
    const { status, headers } = started.value
    const head = protocol.decodeHead(status, headers)
    const answer = answerOf(head, isFramed(headers), incoming, connection, release, target.address)
    const failure = headFailure(what, head)
    if (failure === undefined) return ok(answer)
    if (failure.reason === 'spoiled') answer.close()
    else drain(answer).catch(() => answer.close())
    return err(failure)
  }

  function answerOf (
    head: AnswerHead,
    framed: boolean,
    incoming: Incoming,
    connection: TargetConnection,
    release: () => void,
    address: string
  ): TargetAnswer {
    let isDone = false
    return {
      head,
      read: async () => {
        const next = await incoming.read()
        if (next.isErr()) return err(new SendFailure('broken', true, describeCause(next.error)))
        if (next.value !== undefined) return ok(next.value)
        // Without a length only an orderly end of the connection tells that the body is whole.
        if (!framed && connection.socket?.readableEnded !== true) {
          return err(new SendFailure('broken', true, 'the connection was reset'))
        }
        isDone = true
        return ok(undefined)
      },
      close: () => {
        release()
        if (isDone && framed) connections.keep(address, connection)
        else connections.drop(connection)
      }
    }
  }

  return { send, connections }
}

/** A kept connection that was reset by its target says so after about one round trip, in milliseconds. */
const STALE_WITHIN_MS = 25

function breakReason (connection: TargetConnection, mark: SendMark, cause: Error, afterMs: number): SendFailureReason {
  if (!mark.sent || isConnectFailure(cause)) return 'connectFailed'
  return connection.isReused && afterMs <= STALE_WITHIN_MS ? 'staleConnection' : 'broken'
}

/** Reads the rest of a refusal, so that its connection can be kept. */
async function drain (answer: TargetAnswer): Promise<void> {
  for (;;) {
    const next = await answer.read()
    if (next.isErr() || next.value === undefined) break
  }
  answer.close()
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
