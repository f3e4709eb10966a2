/** The answer of a target whose body is still to be read. */
import { err, ok, type Result } from 'neverthrow'
import {
  ConnectionResetError, describeCause, isPeerFailure, KIB_BYTES, RequestCutError, SECOND_MS, type BodyFraming
} from '../../shared'
import type { AnswerHead } from '../model'
import type { TargetConnection, TargetConnectionPool } from './connectionPool'
import type { ReceivedAnswer } from './endCheck'
import type { ResponseReceiver } from './responseReceiver'
import { SendFailure } from './sendFailure'

/** What is known of the end of a response. */
export interface AnswerEnding {
  framing: BodyFraming
  /** Number of bytes of the body received so far. */
  bytes: number
  /** State of the connection: usable, closed in an orderly way by the target, reset by it, or broken. */
  connection: 'open' | 'ended' | 'reset' | 'broken'
}

export type ReceivedEvents = Omit<ReceivedAnswer, 'quietMs' | 'isRequestCut'>

/** A response whose head has been received. */
export interface TargetAnswer {
  head: AnswerHead
  getEnding: () => AnswerEnding
  /**
   * Reads the next bytes of the body; resolves to undefined at its end.
   *
   * @param received - what has been received so far, of an answer with events, and whether its end must be proven
   */
  read: (received?: Partial<ReceivedEvents>) => Promise<Result<Uint8Array | undefined, SendFailure>>
  /** Ends the exchange; the connection is returned to the pool only if the body was read to its end. */
  close: () => void
}

export interface TargetAnswerParts {
  head: AnswerHead
  framing: BodyFraming
  receiver: ResponseReceiver
  connection: TargetConnection
  connections: Pick<TargetConnectionPool, 'release' | 'destroy'>
  removeAbortListener: () => void
  address: string
  /** Resolves to a failure if the end of the connection may not be that of the body. */
  checkEnd: (received: ReceivedAnswer) => Promise<SendFailure | undefined>
  now: () => number
}

const STATUS_NO_CONTENT = 204
const STATUS_RESET_CONTENT = 205
const NO_EVENTS: ReceivedEvents = {
  events: undefined, isResumed: false, lastEventId: undefined, canAskForRest: false, mustBeProven: false
}

/** Creates the answer whose head has been received. */
export function createTargetAnswer (parts: TargetAnswerParts): TargetAnswer {
  const { head, framing, receiver, connection, connections, removeAbortListener, address, checkEnd, now } = parts
  const isBodyFramed = framing !== 'connection'
  let isDone = false
  let bytes = 0
  let lastBytesAt = now()
  return {
    head,
    getEnding: () => ({ framing, bytes, connection: getConnectionState(connection) }),
    read: async (told = {}) => {
      const next = await receiver.read()
      const getReceived = (isRequestCut: boolean): ReceivedAnswer =>
        ({ ...NO_EVENTS, ...told, quietMs: now() - lastBytesAt, isRequestCut })
      if (next.isErr()) {
        // A process that lives has given the request up.
        const isRequestCut = !isBodyFramed && next.error instanceof RequestCutError
        const failure = isRequestCut ? await checkEnd(getReceived(true)) : undefined
        if (failure !== undefined) return err(failure)
        const reason = isPeerFailure(next.error) ? 'peerLost' : 'broken'
        return err(new SendFailure(reason, true, describeCause(next.error)))
      }
      if (next.value !== undefined) {
        bytes += next.value.length
        lastBytesAt = now()
        return ok(next.value)
      }
      if (!isBodyFramed) {
        if (bytes === 0 && told.events === undefined && isSuccessWithBody(head)) {
          return err(new SendFailure('endedEarly', true, 'the connection ended after the head'))
        }
        const failure = await checkEnd(getReceived(false))
        if (failure !== undefined) return err(failure)
      }
      isDone = true
      return ok(undefined)
    },
    close: () => {
      removeAbortListener()
      if (isDone && isBodyFramed) {
        connections.release(address, connection)
        return
      }
      connections.destroy(connection)
      receiver.fail(new Error('answer closed before its end'))
    }
  }
}

/** Limits on a body that is read without being used; one that exceeds them may have no end. */
const MAX_DRAIN_BYTES = 64 * KIB_BYTES
const MAX_DRAIN_MS = SECOND_MS

/** Reads a response to its end without using its body, so that its connection can be reused; gives up on a long one. */
export async function drainAnswer (answer: TargetAnswer): Promise<Result<void, SendFailure>> {
  const timer = setTimeout(() => answer.close(), MAX_DRAIN_MS)
  try {
    for (;;) {
      const next = await answer.read()
      if (next.isErr()) return err(next.error)
      if (next.value === undefined) return ok(undefined)
      if (answer.getEnding().bytes > MAX_DRAIN_BYTES) {
        return err(new SendFailure('spoiled', true, `an unused body is larger than ${MAX_DRAIN_BYTES} bytes`))
      }
    }
  } finally {
    clearTimeout(timer)
  }
}

/** True for a success whose status doesn't say that there is no body. */
function isSuccessWithBody ({ status }: AnswerHead): boolean {
  return status >= 200 && status < 300 && status !== STATUS_NO_CONTENT && status !== STATUS_RESET_CONTENT
}

function getConnectionState ({ socket }: TargetConnection): AnswerEnding['connection'] {
  if (socket?.errored instanceof ConnectionResetError) return 'reset'
  if (socket?.readableEnded === true) return 'ended'
  return socket?.destroyed === false ? 'open' : 'broken'
}
