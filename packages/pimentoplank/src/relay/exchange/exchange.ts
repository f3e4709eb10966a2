/** Sends single requests to targets and reads their responses. */
import { err, ok, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import {
  describeCause, getBodyFraming, hash32, isPeerFailure, type Clock, type Log, type Metrics, type SendMark
} from '../../shared'
import type { AnswerHead, ProcessNeed, Target, TargetProtocol, TargetRequest } from '../model'
import type { TargetConnection, TargetConnectionPool } from './connectionPool'
import { createEndCheck } from './endCheck'
import { identifyProcess } from './identifyProcess'
import { UnknownProcess } from './readState'
import { createResponseReceiver } from './responseReceiver'
import { SendFailure, type SendFailureReason } from './sendFailure'
import { createTargetAnswer, drainAnswer, type TargetAnswer } from './targetAnswer'

export interface Exchange {
  /**
   * Sends a request; resolves when the head of the response has been received.
   *
   * @param send - the request and its target
   * @param signal - aborts the exchange, also while the body is read
   * @param need - for requests to which it matters which process of the target gets them
   */
  send: (
    send: TargetRequest, signal: AbortSignal, need?: ProcessNeed
  ) => Promise<Result<TargetAnswer, SendFailure>>
  connections: TargetConnectionPool
}

export interface ExchangeOptions {
  protocol: TargetProtocol
  connections: TargetConnectionPool
  /**
   * Called with the head of each answer of the target that was asked.
   *
   * @param processStartedAt - when the process that answered started; undefined if it was not asked
   */
  onHead: (target: Target, head: AnswerHead, processStartedAt: number | undefined) => void
  /** Called when another process answers at the address of a target than the one that its entry describes. */
  onOtherProcess: (target: Target, startedAt: number) => void
  clock: Clock
  metrics: Metrics
  log: Log
}

/** Connections on which a process is asked for its start; those that break or end meanwhile say nothing of it. */
const MAX_IDENTIFY_ATTEMPTS = 3

/** Creates the client through which an instance sends requests to targets. */
export function createExchange (options: ExchangeOptions): Exchange {
  const { protocol, connections, onHead, clock, metrics, log } = options
  const checkEnd = createEndCheck(options)

  async function send (
    outgoing: TargetRequest, signal: AbortSignal, need?: ProcessNeed
  ): Promise<Result<TargetAnswer, SendFailure>> {
    const { request, target } = outgoing
    if (signal.aborted) return err(new SendFailure('aborted', false, 'request aborted before it was sent'))
    const startedAt = clock.now()
    const opened = need === undefined
      ? ok(connections.acquire(target.address, request.id))
      : await connect(outgoing, need, signal)
    if (opened.isErr()) return err(opened.error)
    const connection = opened.value
    const mark: SendMark = { sent: false }
    const receiver = createResponseReceiver()
    const abort = (): void => {
      connections.destroy(connection)
      receiver.fail(new Error('request aborted'))
    }
    signal.addEventListener('abort', abort)
    const removeAbortListener = (): void => signal.removeEventListener('abort', abort)
    // What holds for a request may have changed by the time that there is a connection.
    await connection.opened
    if (signal.aborted) {
      removeAbortListener()
      connections.destroy(connection)
      return err(new SendFailure('aborted', false, 'request aborted before it was sent'))
    }
    if (outgoing.mayStillSend?.() === false) {
      removeAbortListener()
      const hasCarried = connection.isReused || connection.processStartedAt !== undefined
      if (hasCarried && connections.isUsable(connection)) connections.release(target.address, connection)
      else connections.destroy(connection)
      return err(new SendFailure('withdrawn', false, 'request withdrawn before it was sent'))
    }
    const sending = { ...outgoing, deadlineMs: getLeftMs(outgoing, startedAt) }
    const options = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: protocol.encodeHeaders(sending),
      body: request.body.length > 0 ? request.body : null,
      mark
    }
    const sentAt = clock.now()
    connection.carried.add(hash32(request.id))
    connection.dispatch(options, receiver.handler)
    const received = await receiver.head()
    if (connection.via !== undefined) {
      log.info({ req: request.id, target: target.id, via: connection.via, sent: mark.sent }, 'request went through a peer')
    }
    if (received.isErr()) {
      removeAbortListener()
      connections.destroy(connection)
      if (signal.aborted) return err(new SendFailure('aborted', mark.sent, 'request aborted'))
      if (connection.isReused && !mark.sent) {
        log.info({
          req: request.id,
          target: target.id,
          idleMs: Math.round(connection.idleMs),
          detail: describeCause(received.error)
        }, 'kept connection ended before the request was sent')
        return await send(sending, signal, need)
      }
      const reason = classifyFailure(connection, mark, received.error, clock.now() - sentAt)
      if (reason === 'staleConnection') connections.reportStale(connection)
      return err(new SendFailure(reason, !NOT_RUN.has(reason), describeCause(received.error)))
    }
    const { status, headers } = received.value
    const head = protocol.decodeHead(status, headers)
    const answer = createTargetAnswer({
      head,
      // An answer without a body ends with its head.
      framing: hasNoBody(request.method, status) ? 'length' : getBodyFraming(headers),
      receiver,
      connection,
      connections,
      removeAbortListener,
      address: target.address,
      checkEnd: async (received) => await checkEnd(outgoing, connection, received, signal),
      now: () => clock.now()
    })
    const failure = findHeadFailure(outgoing, head)
    if (failure === undefined || failure.reason === 'refused') onHead(target, head, connection.processStartedAt)
    if (failure === undefined) return ok(answer)
    if (failure.reason === 'spoiled') answer.close()
    else drainAnswer(answer).finally(() => answer.close()).catch(() => undefined)
    return err(failure)
  }

  function getLeftMs ({ deadlineMs }: TargetRequest, since: number): number | undefined {
    return deadlineMs === undefined ? undefined : Math.max(1, Math.round(deadlineMs - (clock.now() - since)))
  }

  /** Returns a connection to the process that the request needs. */
  async function connect (
    { target, request }: TargetRequest, need: ProcessNeed, signal: AbortSignal
  ): Promise<Result<TargetConnection, SendFailure>> {
    const { startedAt, address } = target
    if (startedAt === undefined) {
      need.onIdentified?.(undefined)
      return ok(connections.acquire(address, request.id))
    }
    const opened = await openIdentified(target, request.id, signal)
    if (opened.isErr()) return opened
    const connection = opened.value
    const { processStartedAt } = connection
    const isListed = processStartedAt === startedAt
    if (!isListed && processStartedAt !== undefined) options.onOtherProcess(target, processStartedAt)
    if (!isListed) log.info({ req: request.id, target: target.id, listed: startedAt, found: processStartedAt }, 'target is not known to be the listed process')
    if (!isListed && need.mustBeListed) {
      if (processStartedAt === undefined) connections.destroy(connection)
      else connections.release(address, connection)
      const reason = processStartedAt === undefined ? 'unknownProcess' : 'otherProcess'
      return err(new SendFailure(reason, false, 'the listed process of the target is not known to answer'))
    }
    need.onIdentified?.(processStartedAt)
    return ok(connection)
  }

  /** Returns a connection whose process was asked for its start; one without it where the process does not tell. */
  async function openIdentified (
    target: Target, requestId: string, signal: AbortSignal
  ): Promise<Result<TargetConnection, SendFailure>> {
    const { id, address } = target
    for (let attempt = 1; ; attempt++) {
      const connection = connections.acquire(address, requestId)
      if (connection.processStartedAt !== undefined) return ok(connection)
      const started = await identifyProcess(connection, {
        protocol,
        onHead: (head, startedAt) => onHead(target, head, startedAt),
        abort: () => connections.destroy(connection),
        signal
      })
      metrics.count(started.isOk() ? 'targets.identified' : 'targets.notIdentified')
      if (started.isOk() && connections.isUsable(connection)) {
        connection.processStartedAt = started.value
        return ok(connection)
      }
      connections.destroy(connection)
      if (signal.aborted) return err(new SendFailure('aborted', false, 'request aborted before it was sent'))
      const isSilent = started.isErr() && started.error instanceof UnknownProcess
      const mayTryAgain = attempt < MAX_IDENTIFY_ATTEMPTS && !isSilent && (connection.isReused || started.isOk())
      if (mayTryAgain) continue
      const detail = started.isErr() ? describeCause(started.error) : 'it closed each connection'
      const isPeerFault = started.isErr() && isPeerFailure(started.error)
      if (isPeerFault) return err(new SendFailure('peerUnreachable', false, detail))
      if (connection.socket === undefined) return err(new SendFailure('connectFailed', false, detail))
      log.info({ target: id, detail }, 'target did not tell when its process started')
      return ok(connections.open(address))
    }
  }

  return { send, connections }
}

/** A reset of a pooled connection by its target is seen after about one round trip; upper limit in milliseconds. */
const STALE_DETECTION_MS = 25
/** Failures after which the target has certainly not run the request. */
const NOT_RUN: ReadonlySet<SendFailureReason> = new Set(['connectFailed', 'peerUnreachable'])

function classifyFailure (
  connection: TargetConnection,
  mark: SendMark,
  cause: Error,
  afterMs: number
): SendFailureReason {
  if (isPeerFailure(cause)) return mark.sent ? 'peerLost' : 'peerUnreachable'
  if (!mark.sent) return 'connectFailed'
  return connection.isReused && afterMs <= STALE_DETECTION_MS ? 'staleConnection' : 'broken'
}

/** Statuses of answers that have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

function hasNoBody (method: string, status: number): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status)
}

function findHeadFailure ({ request, target }: TargetRequest, head: AnswerHead): SendFailure | undefined {
  // First, as a copy of an earlier answer says nothing of this request, whatever its status is.
  if (head.requestId !== undefined && head.requestId !== request.id) {
    return new SendFailure('spoiled', true, `response belongs to another request: ${head.requestId}`)
  }
  if (head.isOtherTarget) return new SendFailure('otherTarget', false, `another target than the expected one answered at ${target.address}`)
  const { status } = head
  if (head.isNotRun) return new SendFailure('refused', false, `target refused the request with status ${status}`, status)
  return undefined
}
