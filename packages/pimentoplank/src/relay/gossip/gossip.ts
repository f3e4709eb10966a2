/** Gossip between instances: sends reports and load updates to peers, and detects peers that are lost. */
import { createSocket, type Socket } from 'node:dgram'
import { ResultAsync } from 'neverthrow'
import { describeCause, hash32, rankByRendezvous, type Clock, type Log, type Metrics, type Random } from '../../shared'
import {
  decodeDatagram, encodeBegunStream, encodeDigest, encodeLoad, encodeReport, encodeYield, getLowBits,
  type DomainUses, type LoadUpdate, type DatagramContent
} from './datagrams'
import type { GossipTimings, GossipSettings } from './gossipSettings'
import { createPeerCandidates } from './peerCandidates'
import type { CrashReport, PeerView, Report, StreamNotice } from './types'

/** Part of a full report that the instance provides. */
export type OwnReport = Pick<
  Report, 'stage' | 'callerAddress' | 'jobs' | 'configRevision' | 'openJobs' | 'limits' | 'streams' | 'leaving' |
  keyof CrashReport
>

/** Part of a report that changes with each request. */
export type OwnLoad = Pick<
  Report, 'uses' | 'waiting' | 'suspects' | 'unreached' | 'isCutOff' | 'streams' | 'areStreamsBegun'
>

/** Use of targets as reported to instances of other failure domains. */
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
  /** Advertised address for datagrams and calls of peers. */
  peerAddress: string
  /** Addresses to contact before any peer is known. */
  seeds: readonly string[]
  settings: GossipSettings
  /** Returns the state to report. */
  getOwnReport: () => OwnReport
  getOwnLoad: () => OwnLoad
  getFarUses: () => FarUses
  /** Called when a peer requests that batch items be withdrawn from a target, which is given as the hash of its id. */
  onYield: (target: number, count: number) => void
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface Gossip {
  /** Starts to send reports; until then this instance only receives. */
  start: () => void
  /** Returns the peers that are not lost, leaving ones included. */
  peers: () => readonly PeerView[]
  /** True if the instances of a failure domain send every load update to this one. */
  isClose: (failureDomain: string) => boolean
  /** True if there are more peers than may receive every load update. */
  isLargeFleet: () => boolean
  /** Milliseconds since the last datagram of an instance; undefined if it is not a known peer. */
  silentMs: (instance: string) => number | undefined
  /** Schedules a load update; updates in quick succession are combined. */
  reportLoadChange: () => void
  /** Sends a full report at once, also to far peers. */
  reportNow: () => void
  /** Requests that an instance withdraw batch items from a target, which is given as the hash of its id. */
  askToYield: (instance: string, target: number, count: number) => void
  /** Tells peers that a stream begins; resolves when the datagrams have left, or after a time. */
  tellBegunStream: (notice: StreamNotice, peers: readonly PeerView[]) => Promise<void>
  /** Adds the address of a possible peer. */
  addCandidate: (address: string) => void
  /** Calls the listener after each report or load update of a peer, with the previous report. */
  onReport: (listener: (report: Report, before: Report | undefined) => void) => void
  /** Calls the listener with each digest of another failure domain. */
  onDigest: (listener: (digest: DomainUses) => void) => void
  /** Calls the listener with streams that begin at a peer. */
  onBegunStream: (listener: (notice: StreamNotice) => void) => void
  /** Calls the listener when a peer is declared lost. */
  onPeerLost: (listener: (peer: PeerView) => void) => void
  close: () => Promise<void>
}

/** Number of peer addresses in one report. */
const KNOWN_PEERS_SENT = 3
const MAX_PEERS = 2048
/** Longest wait for the system to take a datagram, in milliseconds. */
const MAX_SEND_MS = 20

/** Binds the datagram socket; fails if the address is in use. */
export function startGossip (options: GossipOptions): ResultAsync<Gossip, Error> {
  const socket = createSocket('udp4')
  return ResultAsync.fromPromise(bind(socket, options.listen), (cause) => cause as Error)
    .map(() => createGossip(socket, options))
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

function createGossip (socket: Socket, options: GossipOptions): Gossip {
  const { instance, settings, clock, random, metrics, log } = options
  const { maxPeers = MAX_PEERS } = settings
  const peers = new Map<string, PeerView>()
  /** Peer ids by their hash, which identifies them in load updates. */
  const idsByHash = new Map<number, string>()
  const candidates = createPeerCandidates({
    self: options.peerAddress, seeds: options.seeds, maxCandidates: maxPeers, clock
  })
  const reportListeners: Array<(report: Report, before: Report | undefined) => void> = []
  const digestListeners: Array<(digest: DomainUses) => void> = []
  const begunStreamListeners: Array<(notice: StreamNotice) => void> = []
  const lossListeners: Array<(peer: PeerView) => void> = []
  const ownHash = hash32(instance.id)
  let sequence = 0
  let sentAt = -Infinity
  let reportedAt = -Infinity
  let farReportedAt = -Infinity
  let reportTimer: NodeJS.Timeout | undefined
  let digest = { bytes: Buffer.alloc(0), sentAt: -Infinity }
  let digestTimer: NodeJS.Timeout | undefined
  let loadTimer: NodeJS.Timeout | undefined
  let isLoadUpdateScheduled = false
  let isRunning = false

  socket.on('error', (cause) => log.warn({ cause: describeCause(cause) }, 'datagram socket failed'))
  socket.on('message', (bytes) => receive(bytes))

  const handlers: { [Type in DatagramContent['type']]: (received: Extract<DatagramContent, { type: Type }>) => void } = {
    yield: ({ target, count }) => options.onYield(target, count),
    load: ({ load }) => applyLoadUpdate(load),
    digest: ({ digest: receivedDigest }) => digestListeners.forEach((listener) => listener(receivedDigest)),
    report: ({ report }) => applyReport(report),
    begunStream: ({ streams }) => {
      for (const notice of streams) begunStreamListeners.forEach((listener) => listener(notice))
    }
  }

  function receive (bytes: Uint8Array): void {
    const received = decodeDatagram(bytes, clock.now())
    if (received === undefined) {
      metrics.count('gossip.unreadable')
      return
    }
    handlers[received.type](received as never)
  }

  function applyLoadUpdate (load: LoadUpdate): void {
    const id = idsByHash.get(load.instance)
    const report = id === undefined ? undefined : peers.get(id)?.report
    if (id === undefined || report === undefined) return
    if (getLowBits(report.incarnation) !== load.incarnation || load.sequence <= report.sequence) return
    const { sequence, uses, waiting, suspects, unreached, isCutOff, streams, areStreamsBegun } = load
    const next = { ...report, sequence, uses, waiting, suspects, unreached, isCutOff, streams, areStreamsBegun }
    peers.set(id, { report: next, lastReceivedAt: clock.now() })
    reportListeners.forEach((listener) => listener(next, report))
  }

  function applyReport (report: Report): void {
    if (report.instance === instance.id && report.incarnation === options.incarnation) return
    const known = peers.get(report.instance)
    if (known !== undefined && !isNewer(report, known.report)) return
    if (known === undefined && peers.size >= maxPeers) {
      metrics.count('gossip.peersIgnored')
      return
    }
    peers.set(report.instance, { report, lastReceivedAt: clock.now() })
    idsByHash.set(hash32(report.instance), report.instance)
    candidates.remove(report.peerAddress)
    report.knownPeers.forEach((address) => { if (!isKnownAddress(address)) candidates.add(address) })
    if (known?.report.incarnation !== report.incarnation || known.report.stage !== report.stage) {
      log.info({ peer: report.instance, incarnation: report.incarnation, stage: report.stage }, 'peer heard')
      // A peer that has just started does not know this instance yet.
      if (known?.report.incarnation !== report.incarnation) scheduleReports(0)
    }
    reportListeners.forEach((listener) => listener(report, known?.report))
  }

  function isKnownAddress (address: string): boolean {
    for (const { report } of peers.values()) if (report.peerAddress === address) return true
    return false
  }

  function isClose (failureDomain: string): boolean {
    return !isLargeFleet() || failureDomain === instance.failureDomain
  }

  function isAlive ({ report, lastReceivedAt }: PeerView, now: number): boolean {
    // A peer may know of more instances than have been heard here, and report as rarely as in a large fleet.
    const mayBeLarge = peers.size + candidates.count() > settings.maxClosePeers
    const { silentAfterMs } = mayBeLarge ? settings.paceOfLargeFleet : settings.pace
    const isFar = mayBeLarge && report.failureDomain !== instance.failureDomain
    return now - lastReceivedAt <= silentAfterMs * (isFar ? settings.farFactor : 1)
  }

  function removeLostPeers (): void {
    const now = clock.now()
    for (const [id, peer] of peers) {
      if (isAlive(peer, now)) continue
      peers.delete(id)
      idsByHash.delete(hash32(id))
      candidates.add(peer.report.peerAddress)
      log.warn({ peer: id, silentMs: Math.round(now - peer.lastReceivedAt) }, 'peer is silent')
      lossListeners.forEach((listener) => listener(peer))
    }
    candidates.prune()
  }

  function isLargeFleet (): boolean {
    return peers.size > settings.maxClosePeers
  }

  function getTimings (): GossipTimings {
    return isLargeFleet() ? settings.paceOfLargeFleet : settings.pace
  }

  function sendReports (isUrgent = false): void {
    if (!isRunning) return
    removeLostPeers()
    sentAt = clock.now()
    reportedAt = sentAt
    const report = createOwnReport()
    const bytes = encodeReport(report, sentAt)
    candidates.takeDue().concat(getCloseAddresses()).forEach((address) => sendTo(address, bytes))
    if (isUrgent || sentAt - farReportedAt >= getTimings().heartbeatMs * settings.farFactor) sendFarReports(report)
    scheduleReports(getTimings().heartbeatMs)
  }

  /** Reports to far peers omit the use of targets in this failure domain, which digests contain. */
  function sendFarReports (report: Report): void {
    const addresses = getFarAddresses()
    if (addresses.length === 0) return
    farReportedAt = sentAt
    const bytes = encodeReport({ ...report, uses: options.getFarUses().own }, sentAt)
    addresses.forEach((address) => sendTo(address, bytes))
  }

  /** Each far peer gets the digest from one instance of this failure domain, chosen by rendezvous hashing. */
  function sendDigest (): void {
    if (!isRunning || !isLargeFleet()) return
    const reports = [...peers.values()].map(({ report }) => report)
    const close = reports.filter(({ failureDomain }) => isClose(failureDomain))
    const senders = [instance.id, ...close.map((report) => report.instance)]
    const receivers = reports
      .filter(({ failureDomain }) => !isClose(failureDomain))
      .filter((report) => rankByRendezvous(report.instance, senders, (id) => id)[0] === instance.id)
    if (receivers.length === 0) return
    const bytes = encodeDigest({ failureDomain: instance.failureDomain, uses: options.getFarUses().domain })
    const now = clock.now()
    if (digest.bytes.equals(bytes) && now - digest.sentAt < getTimings().heartbeatMs) return
    digest = { bytes: Buffer.from(bytes), sentAt: now }
    receivers.forEach(({ peerAddress }) => sendTo(peerAddress, bytes))
  }

  function sendLoadUpdate (): void {
    sentAt = clock.now()
    const sender = { instance: ownHash, incarnation: getLowBits(options.incarnation), sequence: ++sequence }
    const bytes = encodeLoad({ ...options.getOwnLoad(), ...sender }, sentAt)
    getCloseAddresses().forEach((address) => sendTo(address, bytes))
    scheduleReports(Math.max(0, reportedAt + getTimings().heartbeatMs - sentAt))
  }

  function getPeerAddresses (isWanted: (failureDomain: string) => boolean): string[] {
    return [...peers.values()]
      .filter(({ report }) => isWanted(report.failureDomain))
      .map(({ report }) => report.peerAddress)
  }

  function getCloseAddresses (): string[] {
    return getPeerAddresses(isClose)
  }

  function getFarAddresses (): string[] {
    return getPeerAddresses((failureDomain) => !isClose(failureDomain))
  }

  function createOwnReport (): Report {
    return {
      ...options.getOwnLoad(),
      // Its streams go back further than those of load updates.
      ...options.getOwnReport(),
      peerAddress: options.peerAddress,
      instance: instance.id,
      failureDomain: instance.failureDomain,
      region: instance.region,
      incarnation: options.incarnation,
      sequence: ++sequence,
      knownPeers: pickRandom(getPeerAddresses(() => true), KNOWN_PEERS_SENT, random)
    }
  }

  function sendTo (address: string, bytes: Uint8Array, onSent?: () => void): void {
    const colon = address.lastIndexOf(':')
    socket.send(bytes, Number(address.slice(colon + 1)), address.slice(0, colon), (cause) => {
      if (cause !== null) metrics.count('gossip.sendErrors')
      onSent?.()
    })
  }

  async function tellBegunStream (notice: StreamNotice, told: readonly PeerView[]): Promise<void> {
    if (!isRunning || told.length === 0) return
    const bytes = encodeBegunStream(notice, clock.now())
    const sent = Promise.all(told.map(async ({ report }) => await new Promise<void>((resolve) => {
      sendTo(report.peerAddress, bytes, resolve)
    })))
    const over = new AbortController()
    await Promise.race([sent, clock.sleep(MAX_SEND_MS, over.signal)]).catch((cause: unknown) => {
      metrics.count('gossip.sendErrors')
      log.warn({ cause: describeCause(cause) }, 'peers could not be told that a stream begins')
    })
    over.abort()
  }

  function scheduleReports (ms: number): void {
    clearTimeout(reportTimer)
    reportTimer = setTimeout(() => sendReports(), ms)
  }

  function scheduleLoadUpdate (): void {
    if (!isRunning || isLoadUpdateScheduled) return
    isLoadUpdateScheduled = true
    loadTimer = setTimeout(() => {
      isLoadUpdateScheduled = false
      if (isRunning) sendLoadUpdate()
    }, Math.max(0, sentAt + getTimings().minGapMs - clock.now()))
  }

  return {
    start: () => {
      isRunning = true
      scheduleReports(0)
      digestTimer = setInterval(sendDigest, settings.digestMs)
    },
    peers: () => {
      const now = clock.now()
      return [...peers.values()].filter((peer) => isAlive(peer, now))
    },
    isClose,
    isLargeFleet,
    silentMs: (id) => {
      const peer = peers.get(id)
      return peer === undefined ? undefined : clock.now() - peer.lastReceivedAt
    },
    reportLoadChange: scheduleLoadUpdate,
    reportNow: () => sendReports(true),
    askToYield: (id, target, count) => {
      const peer = peers.get(id)
      if (peer !== undefined) sendTo(peer.report.peerAddress, encodeYield(target, count))
    },
    tellBegunStream,
    addCandidate: candidates.add,
    onReport: (listener) => { reportListeners.push(listener) },
    onDigest: (listener) => { digestListeners.push(listener) },
    onBegunStream: (listener) => { begunStreamListeners.push(listener) },
    onPeerLost: (listener) => { lossListeners.push(listener) },
    close: async () => {
      isRunning = false
      clearTimeout(reportTimer)
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

function pickRandom (items: string[], count: number, random: Random): string[] {
  const remaining = [...items]
  const chosen: string[] = []
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(...remaining.splice(Math.floor(random() * remaining.length), 1))
  }
  return chosen
}
