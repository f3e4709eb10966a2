/** Routes requests of callers to the live path or to the batch jobs. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { RefusalError, truncateResponse, type Clock, type Log, type MemoryBudget, type Random } from '../../shared'
import { isRepeatable } from '../decisions'
import type { JobApi, JobItem } from '../jobs'
import {
  createCallerReply, handleUnexpectedError, openRequestMemory, relayRequest,
  type CallerReply, type RefusalAnswer, type RelayDeps, type RequestMemory
} from '../live'
import type { CallerRequest, RawHeaders, Route } from '../model'
import { pickService, type RouteTable } from '../routing'
import { createBodyReader, createOverloadedError } from './bodyReader'
import { createJobSubmitter } from './jobSubmitter'

/** Codec for requests of callers and the responses to them. */
export interface CallerProtocol {
  /** Decodes the head of a request; its body is read later. */
  decodeRequest: (req: IncomingMessage) => Result<Omit<CallerRequest, 'body'>, RefusalError>
  /** Decodes the ids of the parts of a prompt, in order; the last part is the request's own. */
  decodePromptParts: (headers: RawHeaders) => string[]
  /** Decodes the items of a job from the body of its submission. */
  decodeJob: (body: Uint8Array) => Result<JobItem[], RefusalError>
  encodeRefusal: (refusal: RefusalError) => RefusalAnswer
  /** Encodes the response to an accepted job. */
  encodeAccepted: (job: string) => RefusalAnswer
}

/** A request with less than this share of the route's longest deadline is a retry of the caller. */
const RETRY_DEADLINE_SHARE = 0.95

export interface RelayHandlerOptions {
  protocol: CallerProtocol
  getRouteTable: () => RouteTable | undefined
  /** Resolves when this instance can place requests, or when it has tried to start for too long. */
  whenStarted: Promise<void>
  live: RelayDeps
  jobs: JobApi
  isLeaving: () => boolean
  /** True while no new requests are accepted, since they might not end before the process does. */
  isClosed: () => boolean
  /** Time until this instance ends, in milliseconds, as far as late requests are concerned; infinite for others. */
  getLeftMs: () => number
  /** Counts a request as in flight; returns the function that ends it. */
  trackRequest: () => () => void
  /** Budget for what callers make this instance keep. */
  memory: MemoryBudget
  clock: Clock
  random: Random
  log: Log
}

/**
 * Answers a request.
 *
 * @param arrivedAt - when its head arrived, on the monotonic clock in milliseconds
 */
export type RelayHandler = (req: IncomingMessage, res: ServerResponse, arrivedAt: number) => Promise<void>

/** Creates the handler of an instance. */
export function createRelayHandler (options: RelayHandlerOptions): RelayHandler {
  const { protocol, live, random, log } = options
  const submitJob = createJobSubmitter({ decodeJob: protocol.decodeJob, jobs: options.jobs, memory: options.memory })
  /** Longest deadline received on each route, in milliseconds. */
  const longestDeadlines = new Map<string, number>()

  async function handle (req: IncomingMessage, res: ServerResponse, arrivedAt: number): Promise<void> {
    const memory = openRequestMemory({
      budget: options.memory, id: req.socket.remoteAddress ?? '', headBytes: countHeadBytes(req)
    })
    const { encodeRefusal } = protocol
    const reply = createCallerReply({ res, memory, encodeRefusal, isLeaving: options.isLeaving })
    const endRequest = options.trackRequest()
    try {
      const received = await receiveRequest(req, memory, arrivedAt)
      if (received.isErr()) {
        log.info({ path: req.url, reason: received.error.reason, detail: received.error.message }, 'refused')
        live.metrics.countRefusal(received.error.reason)
        reply.refuse(received.error)
        return
      }
      const { request, route } = received.value
      if (route.kind === 'batch') await submit(request, route, reply, res)
      else await relay(request, route, reply, arrivedAt)
    } finally {
      endRequest()
      if (memory !== undefined) closeWithResponse(memory, res)
    }
  }

  async function receiveRequest (
    req: IncomingMessage, memory: RequestMemory | undefined, arrivedAt: number
  ): Promise<Result<{ request: CallerRequest, route: Route }, RefusalError>> {
    if (memory === undefined) return err(createOverloadedError())
    const head = protocol.decodeRequest(req)
    if (head.isErr()) return err(head.error)
    const reader = createBodyReader({ req, memory, clock: options.clock })
    await options.whenStarted
    const table = options.getRouteTable()
    if (table === undefined) {
      const refusal = new RefusalError('starting', { retryAfterMs: STARTING_RETRY_AFTER_MS })
      reader.abort(refusal)
      return err(refusal)
    }
    findRoute(table, head.value).match((route) => reader.setLimits({
      maxBytes: table.limits.maxBodyBytes, endAt: arrivedAt + getLongestMs(head.value, route)
    }), reader.abort)
    const body = await reader.body
    if (body.isErr()) return err(body.error)
    // Refused only now, since closing a connection with unread bytes would reset it.
    if (options.isClosed()) return err(new RefusalError('addressMoved', { retryAfterMs: MOVED_RETRY_AFTER_MS }))
    // A newer configuration may have been applied while the body was read.
    return findRoute(options.getRouteTable() ?? table, head.value).andThen((route) => {
      return route.kind !== 'batch' && getLongestMs(head.value, route) > options.getLeftMs()
        ? err(new RefusalError('addressMoved', { retryAfterMs: MOVED_RETRY_AFTER_MS }))
        : ok({ request: { ...head.value, body: body.value }, route })
    })
  }

  async function relay (
    request: CallerRequest, route: Route, reply: CallerReply, arrivedAt: number
  ): Promise<void> {
    const service = pickService(route, random())
    if (service === undefined) {
      reply.refuse(new RefusalError('noTarget', { detail: `route ${route.name} names no service` }))
      return
    }
    const isRefused = live.crashes.isRefused(request)
    const isProbe = isRefused && isRepeatable(route) && live.crashes.mayProbe(request)
    if (isRefused && !isProbe) {
      log.info({ req: request.id, route: route.name }, 'request refused: targets crashed on its prompt')
      live.metrics.countRefusal('quarantined')
      reply.refuse(new RefusalError('quarantined', { outcome: 'not_run' }))
      return
    }
    const call = { request, route, service, reply, arrivedAt, isReturning: isCallerRetry(request, route), isProbe }
    await relayRequest(call, live).catch((cause: unknown) => handleUnexpectedError(cause, call, log))
  }

  function isCallerRetry ({ deadlineMs }: CallerRequest, route: Route): boolean {
    if (deadlineMs === undefined) return false
    const longest = Math.max(longestDeadlines.get(route.name) ?? 0, deadlineMs)
    longestDeadlines.set(route.name, longest)
    return deadlineMs < longest * RETRY_DEADLINE_SHARE
  }

  async function submit (request: CallerRequest, route: Route, reply: CallerReply, res: ServerResponse): Promise<void> {
    const accepted = await submitJob(request, route)
    if (accepted.isErr()) {
      live.metrics.countRefusal(accepted.error.reason)
      reply.refuse(accepted.error)
      return
    }
    const { status, headers, body } = protocol.encodeAccepted(request.id)
    reply.begin(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))])
    res.end(body)
  }

  return handle
}

/** Retry hint for callers of an instance that is about to end, in milliseconds. */
const MOVED_RETRY_AFTER_MS = 50
/** Retry hint for callers of an instance that has no configuration yet, in milliseconds. */
const STARTING_RETRY_AFTER_MS = 300

function findRoute (
  table: RouteTable, { host, path }: Pick<CallerRequest, 'host' | 'path'>
): Result<Route, RefusalError> {
  const route = table.findRoute(host, path)
  return route === undefined ? err(new RefusalError('notFound', { detail: `no route for ${host}${path}` })) : ok(route)
}

/** Returns how long the caller of a request waits at most, in milliseconds. */
function getLongestMs ({ deadlineMs }: Pick<CallerRequest, 'deadlineMs'>, route: Route): number {
  // The time-out of a batch route does not apply to its callers.
  if (route.kind === 'batch') return deadlineMs ?? route.timeoutMs
  return Math.min(deadlineMs ?? route.timeoutMs, route.timeoutMs)
}

/** Returns the size of the header fields as received, in bytes. */
function countHeadBytes ({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length)
}

/** Counts what the caller has still to read of the response, and closes the account when it has read it. */
function closeWithResponse (memory: RequestMemory, res: ServerResponse): void {
  if (res.writableFinished || res.destroyed) return memory.close()
  memory.resizeAnswer(0)
  memory.resizeBody(0)
  memory.chargeUnread(res.writableLength)
  memory.setEvict(() => truncateResponse(res))
  res.once('close', memory.close)
}
