/** Encodes and decodes the datagrams between instances. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import {
  DatagramSchema, DomainDigestSchema, InstanceReportSchema, InstanceStage, LoadChangeSchema, YieldRequestSchema,
  type Datagram, type JobNotice, type LoadChange, type StreamNotice as StreamNoticeMessage,
  type WaitingItems as WaitingItemsMessage
} from '../../shared'
import {
  FIRST_EPOCH, type JobOwnership, type Report, type Stage, type StreamNotice, type TargetUse, type WaitingItems
} from './types'

const STAGE_CODES: Record<Stage, InstanceStage> = {
  starting: InstanceStage.STARTING,
  serving: InstanceStage.SERVING,
  leaving: InstanceStage.LEAVING
}
const STAGES = new Map(Object.entries(STAGE_CODES).map(([stage, code]) => [code, stage as Stage]))

/** Encodes a full report. Times are sent relative to `now`, since instances do not share a monotonic clock. */
export function encodeReport (report: Report, now: number): Uint8Array {
  const message = create(InstanceReportSchema, {
    ...report,
    incarnation: BigInt(report.incarnation),
    stage: STAGE_CODES[report.stage],
    uses: [...report.uses].map(([target, { live, batch, isAnswering }]) => (
      { target, live, batch, answering: isAnswering }
    )),
    ...encodeWaiting(report.waiting, now),
    knownPeers: [...report.knownPeers],
    jobs: report.jobs.map(({ isAccepted, ...notice }) => ({ ...notice, accepted: isAccepted })),
    crashes: report.crashes.map(({ target, at, prompts }) => ({
      target, ageMs: toAgeMs(at, now), prompts: prompts.map(({ id, parts }) => ({ id, parts: [...parts] }))
    })),
    crashingParts: report.crashingParts.map(({ parts, at }) => ({ parts: [...parts], ageMs: toAgeMs(at, now) })),
    targetLimits: report.limits.map(({ target, perSecond, at }) => ({ target, perSecond, ageMs: toAgeMs(at, now) })),
    answeredParts: report.answeredParts.map(({ part, at }) => ({ part, ageMs: toAgeMs(at, now) })),
    suspects: [...report.suspects],
    unreached: [...report.unreached],
    cutOff: report.isCutOff,
    streams: encodeStreams(report.streams, now),
    streamsBegun: report.areStreamsBegun,
    leavingTargets: report.leaving.map(({ target, startedAt, at }) => ({
      target, startedAt: startedAt === undefined ? undefined : BigInt(startedAt), ageMs: toAgeMs(at, now)
    })),
    configRevision: BigInt(report.configRevision),
    openJobs: [...report.openJobs].map(([job, tokens]) => ({ job, tokens: BigInt(Math.round(tokens)) }))
  })
  return toBinary(DatagramSchema, create(DatagramSchema, { content: { case: 'report', value: message } }))
}

type WaitingItemsFields = Pick<WaitingItemsMessage, 'dueInMs' | 'count' | 'version' | 'service'>

/** Older versions would let items of one service wait for those of another, so that they don't get these. */
function encodeWaiting (
  waiting: readonly WaitingItems[],
  now: number
): { waiting: WaitingItemsFields[], waitingAtServices: WaitingItemsFields[] } {
  const encode = ({ dueAt, count, version = 0, service = 0 }: WaitingItems): WaitingItemsFields => (
    { dueInMs: Math.round(dueAt - now), count, version, service }
  )
  return {
    waiting: waiting.filter(({ service }) => service === undefined).map(encode),
    waitingAtServices: waiting.filter(({ service }) => service !== undefined).map(encode)
  }
}

function decodeWaiting (
  { waiting, waitingAtServices }: Pick<LoadChange, 'waiting' | 'waitingAtServices'>,
  now: number
): WaitingItems[] {
  return [...waiting, ...waitingAtServices].map(({ dueInMs, count, version, service }) => ({
    dueAt: now + dueInMs,
    count,
    version: version === 0 ? undefined : version,
    service: service === 0 ? undefined : service
  }))
}

type StreamNoticeFields = Pick<StreamNoticeMessage, 'version' | 'service' | 'attempts' | 'keepMs'>

/** Groups the attempts by service and version, so that each of these is sent once. */
function encodeStreams (streams: readonly StreamNotice[], now: number): StreamNoticeFields[] {
  const groups = new Map<string, StreamNoticeFields>()
  for (const { attempt, version = '', service = '', keepUntil } of streams) {
    const key = JSON.stringify([service, version])
    const group = groups.get(key) ?? { version, service, attempts: [], keepMs: [] }
    group.attempts.push(attempt)
    group.keepMs.push(Math.max(0, Math.round(keepUntil - now)))
    groups.set(key, group)
  }
  return [...groups.values()]
}

function decodeStreams (notices: readonly StreamNoticeMessage[], now: number): StreamNotice[] {
  return notices.flatMap(({ version, service, attempts, keepMs }) => attempts.map((attempt, index) => ({
    attempt,
    version: version === '' ? undefined : version,
    service: service === '' ? undefined : service,
    keepUntil: now + (keepMs[index] ?? 0)
  })))
}

/**
 * Older versions also tell of jobs of which they have merely read the record. From the second epoch on, an instance has
 * found the input stored and has taken the job over, whoever tells of it.
 */
function decodeJob ({ job, owner, epoch, ended, accepted }: JobNotice): JobOwnership {
  return { job, owner, epoch, ended, isAccepted: accepted || epoch > FIRST_EPOCH }
}

function toAgeMs (at: number, now: number): number {
  return Math.max(0, Math.round(now - at))
}

/** Encodes the part of a report that changes often. */
export function encodeLoad (load: LoadUpdate, now: number): Uint8Array {
  const uses = [...load.uses]
  const message = create(LoadChangeSchema, {
    instance: load.instance,
    incarnation: load.incarnation,
    sequence: load.sequence,
    targets: uses.map(([target]) => target),
    live: uses.map(([, { live }]) => live),
    batch: uses.map(([, { batch }]) => batch),
    ...encodeWaiting(load.waiting, now),
    suspects: [...load.suspects],
    answering: encodeAnswering(uses),
    unreached: [...load.unreached],
    cutOff: load.isCutOff,
    streams: encodeStreams(load.streams, now),
    streamsBegun: load.areStreamsBegun
  })
  return toBinary(DatagramSchema, create(DatagramSchema, { content: { case: 'load', value: message } }))
}

function encodeAnswering (uses: ReadonlyArray<[number, TargetUse]>): boolean[] {
  const answering = uses.map(([, { isAnswering }]) => isAnswering === true)
  return answering.includes(true) ? answering : []
}

/** Returns the lowest 32 bits of an incarnation, which identify it in load updates. */
export function getLowBits (incarnation: number): number {
  return incarnation % INCARNATION_MODULUS
}

const INCARNATION_MODULUS = 2 ** 32

/** Use of the targets of a failure domain by all instances of that domain. */
export interface DomainUses {
  failureDomain: string
  uses: ReadonlyMap<number, TargetUse>
}

/** Encodes a digest of the use of a failure domain. */
export function encodeDigest ({ failureDomain, uses }: DomainUses): Uint8Array {
  const list = [...uses]
  const message = create(DomainDigestSchema, {
    failureDomain,
    targets: list.map(([target]) => target),
    live: list.map(([, { live }]) => live),
    batch: list.map(([, { batch }]) => batch),
    answering: encodeAnswering(list)
  })
  return toBinary(DatagramSchema, create(DatagramSchema, { content: { case: 'digest', value: message } }))
}

/** Encodes a request to withdraw batch items from a target. */
export function encodeYield (target: number, count: number): Uint8Array {
  const message = create(YieldRequestSchema, { target, count })
  return toBinary(DatagramSchema, create(DatagramSchema, { content: { case: 'yield', value: message } }))
}

/** Encodes that a stream begins. */
export function encodeBegunStream (notice: StreamNotice, now: number): Uint8Array {
  const [value] = encodeStreams([notice], now)
  return toBinary(DatagramSchema, create(DatagramSchema, { content: { case: 'begunStream', value: value! } }))
}

/** Update of the load in a full report that was sent before; a receiver without that report ignores it. */
export interface LoadUpdate {
  /** Hash of the instance's id. */
  instance: number
  /** Lowest 32 bits of its incarnation. */
  incarnation: number
  sequence: number
  uses: ReadonlyMap<number, TargetUse>
  waiting: readonly WaitingItems[]
  suspects: ReadonlySet<number>
  unreached: ReadonlySet<number>
  isCutOff: boolean
  streams: readonly StreamNotice[]
  areStreamsBegun: boolean
}

export type DatagramContent =
  | { type: 'load', load: LoadUpdate }
  | { type: 'report', report: Report }
  | { type: 'digest', digest: DomainUses }
  | { type: 'yield', target: number, count: number }
  | { type: 'begunStream', streams: readonly StreamNotice[] }

/** Decodes a datagram; returns undefined for bytes that are not a valid one. */
export function decodeDatagram (bytes: Uint8Array, now: number): DatagramContent | undefined {
  let datagram: Datagram
  try {
    datagram = fromBinary(DatagramSchema, bytes)
  } catch {
    return undefined
  }
  const { content } = datagram
  if (content.case === 'yield') return { type: 'yield', target: content.value.target, count: content.value.count }
  if (content.case === 'digest') {
    const { failureDomain, ...uses } = content.value
    return { type: 'digest', digest: { failureDomain, uses: decodeUses(uses) } }
  }
  if (content.case === 'begunStream') return { type: 'begunStream', streams: decodeStreams([content.value], now) }
  if (content.case === 'load') return { type: 'load', load: decodeLoad(content.value, now) }
  if (content.case !== 'report') return undefined
  const { uses, suspects, jobs, openJobs, ...rest } = content.value
  return {
    type: 'report',
    report: {
      instance: rest.instance,
      incarnation: Number(rest.incarnation),
      sequence: rest.sequence,
      stage: STAGES.get(rest.stage) ?? 'starting',
      callerAddress: rest.callerAddress,
      peerAddress: rest.peerAddress,
      failureDomain: rest.failureDomain,
      region: rest.region,
      uses: new Map(uses.map(({ target, live, batch, answering }): [number, TargetUse] => (
        [target, { live, batch, isAnswering: answering }]
      ))),
      waiting: decodeWaiting(rest, now),
      knownPeers: rest.knownPeers,
      jobs: jobs.map(decodeJob),
      suspects: new Set(suspects),
      unreached: new Set(rest.unreached),
      isCutOff: rest.cutOff,
      crashes: rest.crashes.map(({ target, ageMs, prompts }) => ({ target, at: now - ageMs, prompts })),
      crashingParts: rest.crashingParts.map(({ parts, ageMs }) => ({ parts, at: now - ageMs })),
      limits: rest.targetLimits.map(({ target, perSecond, ageMs }) => ({ target, perSecond, at: now - ageMs })),
      streams: decodeStreams(rest.streams, now),
      areStreamsBegun: rest.streamsBegun,
      leaving: rest.leavingTargets.map(({ target, startedAt, ageMs }) => ({
        target, startedAt: startedAt === undefined ? undefined : Number(startedAt), at: now - ageMs
      })),
      answeredParts: rest.answeredParts.map(({ part, ageMs }) => ({ part, at: now - ageMs })),
      configRevision: Number(rest.configRevision),
      openJobs: new Map(openJobs.map(({ job, tokens }) => [job, Number(tokens)]))
    }
  }
}

function decodeLoad (change: LoadChange, now: number): LoadUpdate {
  const { instance, incarnation, sequence, suspects, unreached, cutOff, streams, streamsBegun } = change
  return {
    instance,
    incarnation,
    sequence,
    uses: decodeUses(change),
    waiting: decodeWaiting(change, now),
    suspects: new Set(suspects),
    unreached: new Set(unreached),
    isCutOff: cutOff,
    streams: decodeStreams(streams, now),
    areStreamsBegun: streamsBegun
  }
}

function decodeUses (
  { targets, live, batch, answering }: Pick<LoadChange, 'targets' | 'live' | 'batch' | 'answering'>
): Map<number, TargetUse> {
  return new Map(targets.map((target, index) => (
    [target, { live: live[index] ?? 0, batch: batch[index] ?? 0, isAnswering: answering[index] ?? false }]
  )))
}
