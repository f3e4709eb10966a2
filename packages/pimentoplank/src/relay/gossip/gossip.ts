/** Sends this instance's report to its peers and keeps theirs. */
import { createSocket, type Socket } from 'node:dgram'
import { ResultAsync } from 'neverthrow'
import { describeCause, hash32, rankByRendezvous, type Clock, type Log, type Metrics, type Random } from '../../shared'
import {
  decodeDatagram, encodeDigest, encodeLoad, encodeReport, encodeYield, lowBits,
  type DomainUses, type LoadNews, type Received
} from './datagrams'
import type { GossipPace, GossipSettings } from './gossipSettings'
import { createIntroductions } from './introductions'
import type { PeerView, Report } from './types'

/** The part of a report that the instance fills in. */
export type OwnReport = Pick<Report, 'stage' | 'callerAddress' | 'jobs' | 'crashes' | 'configRevision' | 'openJobs'>

/** The part that changes with each request. */
export type OwnLoad = Pick<Report, 'uses' | 'waiting' | 'suspects'>

/** Uses for instances of other failure domains. */
export interface FarUses {
  /** This instance's use of targets outside its failure domain. */
  own: Report['uses']
  /** Use of the targets of its failure domain by all instances there. */
  domain: Report['uses']
}

export interface GossipOptions {
  instance: { id: string, failureDomain: string, region: string }
  /** Wall clock time of the process start, in milliseconds. */
  incarnation: number
  listen: { host: string, port: number }
  /** Where datagrams and calls of peers arrive. */
  peerAddress: string
  /** Addresses to report to before any peer is known. */
  seeds: readonly string[]
  settings: GossipSettings
  /** The state to report. */
  own: () => OwnReport
  ownLoad: () => OwnLoad
  farUses: () => FarUses
  /** A peer asks for batch items to be taken off a target. */
  onYield: (target: number, count: number) => void
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface Gossip {
  /** Begins to report; until then this instance only listens. */
  start: () => void
  /** Peers that were heard a short while ago, leaving ones included. */
  peers: () => readonly PeerView[]
  /** True when the instances of a failure domain tell this one of each change. */
  isClose: (failureDomain: string) => boolean
  /** True where more peers are heard than are told of each change. */
  isLargeFleet: () => boolean
  /** Milliseconds since an instance was heard; undefined when it never was. */
  silentMs: (instance: string) => number | undefined
  /** Tells peers soon of a change of the load. */
  touch: () => void
  /** Sends a whole report at once. */
  send: () => void
  askToYield: (instance: string, target: number, count: number) => void
  /** Adds an address to report to. */
  introduce: (address: string) => void
  /** Calls the listener after each report of a peer, with the report before it. */
  onReport: (listener: (report: Report, before: Report | undefined) => void) => void
  /** Calls the listener with the use of the targets of another failure domain. */
  onDigest: (listener: (digest: DomainUses) => void) => void
  /** Calls the listener when a peer counts as gone. */
  onGone: (listener: (peer: PeerView) => void) => void
  close: () => Promise<void>
}

/** Peers named in one report. */
const KNOWN_PEERS_SENT = 3

/** Starts the exchange; fails when the address is in use. */
export function startGossip (options: GossipOptions): ResultAsync<Gossip, Error> {
  const socket = createSocket('udp4')
  return ResultAsync.fromPromise(bind(socket, options.listen), (cause) => cause as Error)
    .map(() => run(socket, options))
}

async function bind (socket: Socket, { host, port }: { host: string, port: number }): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
}

function run (socket: Socket, options: GossipOptions): Gossip {
  const { instance, settings, clock, random, metrics, log } = options
  const peers = new Map<string, PeerView>()
  /** Peers by the hash that load changes name them by. */
  const idsByHash = new Map<number, string>()
  const introductions = createIntroductions({ self: options.peerAddress, seeds: options.seeds, clock })
  const reportListeners: Array<(report: Report, before: Report | undefined) => void> = []
  const digestListeners: Array<(digest: DomainUses) => void> = []
  const goneListeners: Array<(peer: PeerView) => void> = []
  const ownHash = hash32(instance.id)
  let sequence = 0
  let sentAt = -Infinity
  let reportedAt = -Infinity
  let farReportedAt = -Infinity
  let timer: NodeJS.Timeout | undefined
  let digest = { bytes: Buffer.alloc(0), sentAt: -Infinity }
  let digestTimer: NodeJS.Timeout | undefined
  let loadTimer: NodeJS.Timeout | undefined
  let isLoadDue = false
  let isRunning = false

  socket.on('error', (cause) => log.warn({ cause: describeCause(cause) }, 'datagram socket failed'))
  socket.on('message', (bytes) => receive(bytes))

  const handlers: { [Type in Received['type']]: (received: Extract<Received, { type: Type }>) => void } = {
    yield: ({ target, count }) => options.onYield(target, count),
    load: ({ load }) => takeLoad(load),
    digest: ({ digest: heard }) => digestListeners.forEach((listener) => listener(heard)),
    report: ({ report }) => take(report)
  }

  function receive (bytes: Uint8Array): void {
    const received = decodeDatagram(bytes, clock.now())
    if (received === undefined) {
      metrics.count('gossip.unreadable')
      return
    }
    handlers[received.type](received as never)
  }

  function takeLoad (load: LoadNews): void {
    const id = idsByHash.get(load.instance)
    const report = id === undefined ? undefined : peers.get(id)?.report
    if (id === undefined || report === undefined) return
    if (lowBits(report.incarnation) !== load.incarnation || load.sequence <= report.sequence) return
    const { sequence, uses, waiting, suspects } = load
    const next = { ...report, sequence, uses, waiting, suspects }
    peers.set(id, { report: next, heardAt: clock.now() })
    reportListeners.forEach((listener) => listener(next, report))
  }

  function take (report: Report): void {
    if (report.instance === instance.id && report.incarnation === options.incarnation) return
    const known = peers.get(report.instance)
    if (known !== undefined && !isNewer(report, known.report)) return
    peers.set(report.instance, { report, heardAt: clock.now() })
    idsByHash.set(hash32(report.instance), report.instance)
    introductions.remove(report.peerAddress)
    report.knownPeers.forEach((address) => { if (!isKnown(address)) introductions.add(address) })
    if (known?.report.incarnation !== report.incarnation || known.report.stage !== report.stage) {
      log.info({ peer: report.instance, incarnation: report.incarnation, stage: report.stage }, 'peer heard')
      // A peer that has just started knows nobody.
      if (known?.report.incarnation !== report.incarnation) schedule(0)
    }
    reportListeners.forEach((listener) => listener(report, known?.report))
  }

  function isKnown (address: string): boolean {
    for (const { report } of peers.values()) if (report.peerAddress === address) return true
    return false
  }

  function isClose (failureDomain: string): boolean {
    return !isLargeFleet() || failureDomain === instance.failureDomain
  }

  function isHeard ({ report, heardAt }: PeerView, now: number): boolean {
    const factor = isClose(report.failureDomain) ? 1 : settings.farFactor
    return now - heardAt <= pace().silentAfterMs * factor
  }

  function dropSilent (): void {
    const now = clock.now()
    for (const [id, peer] of peers) {
      if (isHeard(peer, now)) continue
      peers.delete(id)
      idsByHash.delete(hash32(id))
      introductions.add(peer.report.peerAddress)
      log.warn({ peer: id, silentMs: Math.round(now - peer.heardAt) }, 'peer is silent')
      goneListeners.forEach((listener) => listener(peer))
    }
    introductions.prune()
  }

  function isLargeFleet (): boolean {
    return peers.size > settings.maxClosePeers
  }

  function pace (): GossipPace {
    return isLargeFleet() ? settings.paceOfLargeFleet : settings.pace
  }

  function send (isUrgent = false): void {
    if (!isRunning) return
    dropSilent()
    sentAt = clock.now()
    reportedAt = sentAt
    const report = ownReport()
    const bytes = encodeReport(report, sentAt)
    introductions.due().concat(closeAddresses()).forEach((address) => sendTo(address, bytes))
    if (isUrgent || sentAt - farReportedAt >= pace().heartbeatMs * settings.farFactor) sendFar(report)
    schedule(pace().heartbeatMs)
  }

  /** The use of targets of this failure domain is left out; digests tell of it. */
  function sendFar (report: Report): void {
    farReportedAt = sentAt
    const addresses = farAddresses()
    if (addresses.length === 0) return
    const bytes = encodeReport({ ...report, uses: options.farUses().own }, sentAt)
    addresses.forEach((address) => sendTo(address, bytes))
  }

  /** Each far peer gets the digest from one instance of this failure domain. */
  function sendDigest (): void {
    if (!isRunning || !isLargeFleet()) return
    const reports = [...peers.values()].map(({ report }) => report)
    const close = reports.filter(({ failureDomain }) => isClose(failureDomain))
    const senders = [instance.id, ...close.map((report) => report.instance)]
    const receivers = reports
      .filter(({ failureDomain }) => !isClose(failureDomain))
      .filter((report) => rankByRendezvous(report.instance, senders, (id) => id)[0] === instance.id)
    if (receivers.length === 0) return
    const bytes = encodeDigest({ failureDomain: instance.failureDomain, uses: options.farUses().domain })
    const now = clock.now()
    if (digest.bytes.equals(bytes) && now - digest.sentAt < pace().heartbeatMs) return
    digest = { bytes: Buffer.from(bytes), sentAt: now }
    receivers.forEach(({ peerAddress }) => sendTo(peerAddress, bytes))
  }

  function sendLoad (): void {
    sentAt = clock.now()
    const sender = { instance: ownHash, incarnation: lowBits(options.incarnation), sequence: ++sequence }
    const bytes = encodeLoad({ ...options.ownLoad(), ...sender }, sentAt)
    closeAddresses().forEach((address) => sendTo(address, bytes))
    schedule(Math.max(0, reportedAt + pace().heartbeatMs - sentAt))
  }

  function peerAddresses (isWanted: (failureDomain: string) => boolean): string[] {
    return [...peers.values()]
      .filter(({ report }) => isWanted(report.failureDomain))
      .map(({ report }) => report.peerAddress)
  }

  function closeAddresses (): string[] {
    return peerAddresses(isClose)
  }

  function farAddresses (): string[] {
    return peerAddresses((failureDomain) => !isClose(failureDomain))
  }

  function ownReport (): Report {
    return {
      ...options.own(),
      ...options.ownLoad(),
      peerAddress: options.peerAddress,
      instance: instance.id,
      failureDomain: instance.failureDomain,
      region: instance.region,
      incarnation: options.incarnation,
      sequence: ++sequence,
      knownPeers: sample(peerAddresses(() => true), KNOWN_PEERS_SENT, random)
    }
  }

  function sendTo (address: string, bytes: Uint8Array): void {
    const colon = address.lastIndexOf(':')
    socket.send(bytes, Number(address.slice(colon + 1)), address.slice(0, colon), (cause) => {
      if (cause !== null) metrics.count('gossip.sendErrors')
    })
  }

  function schedule (ms: number): void {
    clearTimeout(timer)
    timer = setTimeout(() => send(), ms)
  }

  function touch (): void {
    if (!isRunning || isLoadDue) return
    isLoadDue = true
    loadTimer = setTimeout(() => {
      isLoadDue = false
      if (isRunning) sendLoad()
    }, Math.max(0, sentAt + pace().minGapMs - clock.now()))
  }

  return {
    start: () => {
      isRunning = true
      schedule(0)
      digestTimer = setInterval(sendDigest, settings.digestMs)
    },
    peers: () => {
      const now = clock.now()
      return [...peers.values()].filter((peer) => isHeard(peer, now))
    },
    isClose,
    isLargeFleet,
    silentMs: (id) => {
      const peer = peers.get(id)
      return peer === undefined ? undefined : clock.now() - peer.heardAt
    },
    touch,
    send: () => send(true),
    askToYield: (id, target, count) => {
      const peer = peers.get(id)
      if (peer !== undefined) sendTo(peer.report.peerAddress, encodeYield(target, count))
    },
    introduce: introductions.add,
    onReport: (listener) => { reportListeners.push(listener) },
    onDigest: (listener) => { digestListeners.push(listener) },
    onGone: (listener) => { goneListeners.push(listener) },
    close: async () => {
      isRunning = false
      clearTimeout(timer)
      clearTimeout(loadTimer)
      clearInterval(digestTimer)
      await new Promise<void>((resolve) => socket.close(() => resolve()))
    }
  }
}

function isNewer (report: Report, known: Report): boolean {
  if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation
  return report.sequence > known.sequence
}

function sample (items: string[], count: number, random: Random): string[] {
  const rest = [...items]
  const chosen: string[] = []
  while (chosen.length < count && rest.length > 0) {
    chosen.push(...rest.splice(Math.floor(random() * rest.length), 1))
  }
  return chosen
}
