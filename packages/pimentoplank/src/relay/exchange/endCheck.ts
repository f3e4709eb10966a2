/** Checks at the end of the connection of an unframed answer whether the answer is whole. */
import { LRUCache } from 'lru-cache'
import type { Clock, Log, Metrics } from '../../shared'
import { addListedRun, computeListedMs, hasMadeAll, hasMadeMore, type AnswerEnd, type ListHistory } from '../decisions'
import type { ProcessRun, ProcessState, TargetProtocol, TargetRequest } from '../model'
import { confirmProcess } from './confirmProcess'
import type { TargetConnection, TargetConnectionPool } from './connectionPool'
import { SendFailure } from './sendFailure'

export interface EndCheckOptions {
  connections: TargetConnectionPool
  protocol: TargetProtocol
  clock: Clock
  metrics: Metrics
  log: Log
}

/** What was received of an answer when its connection ended. */
export interface ReceivedAnswer extends AnswerEnd {
  /** True if the target can be asked for what follows the last event. */
  canAskForRest: boolean
  /** True for a success to a request that may not run again, so that nothing can prove its end afterwards. */
  mustBeProven: boolean
  /** True if the connection ended before the whole request was sent. */
  isRequestCut: boolean
}

/** What the state of the process told after the end of an answer. */
interface SeenEnd {
  isListed: boolean
  /** Time from the end to the state, in milliseconds. */
  afterMs: number
}

/** Returns why the answer may not be whole; undefined if nothing speaks against it. */
export type EndCheck = (
  sent: TargetRequest, connection: TargetConnection, received: ReceivedAnswer, signal: AbortSignal
) => Promise<SendFailure | undefined>

/** Connections that a process drops together end within this time, in milliseconds. */
const TOGETHER_MS = 20

/** Maximum of processes whose lists are known, and of ends of which it may still be learned whether they were whole. */
const MAX_HISTORIES = 1000
const MAX_OPEN_ENDS = 1000
const NO_HISTORY: ListHistory = { gone: 0, listed: 0, goneAfterMs: Infinity }

type Verdict =
  | 'whole' | 'otherProcess' | 'requestCut' | 'madeMore' | 'stillRuns' | 'droppedTogether' | 'restUnknown' | 'unproven'

const DETAILS: Record<Exclude<Verdict, 'whole'>, string> = {
  otherProcess: 'the process may have died as its answer ended',
  requestCut: 'the connection ended before the whole request was sent',
  madeMore: 'the process has made more events than were received',
  stillRuns: 'the process still runs the request',
  droppedTogether: 'the process dropped other connections at the same moment',
  restUnknown: 'whether more events follow is not known',
  unproven: 'whether more of an answer follows that may not be asked for again is not known'
}

const REASONS = {
  otherProcess: 'broken',
  requestCut: 'endedEarly',
  madeMore: 'endedEarly',
  stillRuns: 'endedEarly',
  droppedTogether: 'endedEarly',
  restUnknown: 'openEnd',
  unproven: 'unproven'
} as const

/** Creates the check of an instance. */
export function createEndCheck ({ connections, protocol, clock, metrics, log }: EndCheckOptions): EndCheck {
  /** When the process of a target at an address started, as it told last. */
  const toldStarts = new LRUCache<string, number>({ max: MAX_HISTORIES })
  /** By address and start of the process. */
  const histories = new LRUCache<string, ListHistory>({ max: MAX_HISTORIES })
  /** Ends after which more may follow, by process and request: true if the run was still listed. */
  const openEnds = new LRUCache<string, SeenEnd>({ max: MAX_OPEN_ENDS })

  /** A run that goes on and ends without an event shows that the answer before it was whole. */
  function learn (process: string, requestId: string, received: ReceivedAnswer, seen: SeenEnd): void {
    const key = `${process} ${requestId}`
    if (received.canAskForRest) openEnds.set(key, seen)
    const end = received.isResumed && received.events === 0 ? openEnds.get(key) : undefined
    if (end === undefined) return
    openEnds.delete(key)
    histories.set(process, addListedRun(histories.get(process) ?? NO_HISTORY, end.isListed, end.afterMs))
  }

  return async ({ request, target }, connection, received, signal) => {
    const endedAt = clock.now()
    const { address } = target
    const place = `${address} ${target.id}`
    const startedAt = connection.processStartedAt ?? target.startedAt ?? toldStarts.get(place)
    const askState = async (): Promise<ProcessState | undefined> =>
      await confirmProcess({
        address,
        startedAt,
        onTold: (toldStart) => toldStarts.set(place, toldStart),
        connections,
        protocol,
        clock,
        signal
      })
    const findRun = (state: ProcessState | undefined): ProcessRun | undefined =>
      state?.runs?.find(({ id }) => id === request.id)

    async function check (state: ProcessState | undefined): Promise<Verdict> {
      if (state === undefined) return 'otherProcess'
      if (received.isRequestCut) return 'requestCut'
      const run = findRun(state)
      if (hasMadeMore(run, received)) return 'madeMore'
      if (received.canAskForRest) return 'restUnknown'
      if (received.mustBeProven) return 'unproven'
      const listedMs = computeListedMs(run, received, histories.get(process) ?? NO_HISTORY)
      if (listedMs !== undefined) {
        await clock.sleep(listedMs, signal)
        if (findRun(await askState()) !== undefined) return 'stillRuns'
      }
      const dropped = connections.countDropped(address, endedAt - TOGETHER_MS, endedAt + TOGETHER_MS)
      return dropped > 0 ? 'droppedTogether' : 'whole'
    }

    const state = await askState()
    const process = `${address} ${state?.startedAt}`
    if (state?.runs !== undefined) {
      const isListed = hasMadeAll(findRun(state), received)
      learn(process, request.id, received, { isListed, afterMs: clock.now() - endedAt })
    }
    const verdict = await check(state)
    metrics.count(verdict === 'otherProcess' ? 'targets.endsUnconfirmed' : 'targets.endsConfirmed')
    if (verdict !== 'whole') metrics.count(`targets.ends.${verdict}`)
    log.info({
      req: request.id,
      target: target.id,
      startedAt,
      toldStart: state?.startedAt,
      listsRuns: state?.runs !== undefined,
      listedEvents: findRun(state)?.events,
      lastEvent: received.lastEventId,
      quietMs: Math.round(received.quietMs),
      verdict
    }, 'unframed answer ended')
    if (verdict === 'whole') return undefined
    return new SendFailure(REASONS[verdict], true, DETAILS[verdict])
  }
}
