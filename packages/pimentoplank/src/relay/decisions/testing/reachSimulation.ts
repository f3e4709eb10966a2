/**
 * Simulates instances that lose their path to targets, in virtual time: their requests, their reports to each other,
 * and what each believes of targets and paths. Placement, suspicions and paths are those of the relay.
 */
import { createManualClock } from '../../../../features/support/manualClock'
import type { FaultKind } from '../../load'
import { RELAY_RULES } from '../../rules'
import { choosePlacement } from '../placement'
import {
  createSimulatedInstance, REACH_TARGETS, SIMULATED_INSTANCES, SLOTS,
  type ReachRequest, type SimulatedInstance, type SimulatedRun
} from './reachFleet'
import { createSeededRandom } from './seededRandom'

/** What becomes of connections. */
export type LinkFault =
  /** New ones and open ones hang. */
  | 'hangs'
  /** New ones are refused, open ones are reset. */
  | 'refuses'
  /** New ones are refused, open ones live on. */
  | 'refusesNew'
  /** Nothing comes over open ones, new ones are accepted. */
  | 'silent'

export interface ReachPattern {
  lengthMs: number
  /** Fault of the link of an instance to a target at a time; undefined for a sound one. */
  fault: (instance: number, target: number, ms: number) => LinkFault | undefined
  /** Live arrivals per second at each instance. */
  perSecond?: number
  instances?: number
}

export interface ReachSample {
  ms: number
  instance: number
  isCutOff: boolean
  /** Targets that the instance suspects. */
  suspects: ReadonlySet<number>
}

export interface ReachOutcome {
  samples: ReachSample[]
  requests: ReachRequest[]
  /** Tries through peers, by the instance that carries them. */
  carried: number[]
  /** When instances opened direct connections successfully. */
  connects: Array<{ ms: number, instance: number }>
}

const TICK_MS = 10
const SAMPLE_MS = 50
const RUN_MS = 780
const FIRST_BYTES_MS = 60
const GAP_MS = 40
const CONNECT_TIMEOUT_MS = 250
const PROBE_TIMEOUT_MS = 750
const FIRST_SILENCE_MS = 180
const GAP_SILENCE_MS = 120
const DEADLINE_MS = 4000
const HEARTBEAT_MS = 300
const TRIES = 5
const MS_PER_S = 1000

function findIndex (id: string): number {
  return REACH_TARGETS.findIndex((target) => target.id === id)
}

/** Simulates a pattern; the same for the same seed. */
export async function simulateReach (pattern: ReachPattern, seed: number): Promise<ReachOutcome> {
  const random = createSeededRandom(seed)
  const clock = createManualClock()
  const outcome: ReachOutcome = { samples: [], requests: [], carried: [], connects: [] }
  const instances: SimulatedInstance[] = []
  const count = pattern.instances ?? SIMULATED_INSTANCES

  function getFault (instance: number, target: number): LinkFault | undefined {
    return pattern.fault(instance, target, clock.now())
  }

  function isConnectable (instance: number, target: number): boolean {
    const fault = getFault(instance, target)
    return fault === undefined || fault === 'silent'
  }

  for (let index = 0; index < count; index++) {
    instances.push(createSimulatedInstance(index, clock, random, async (instance, address) => {
      const target = REACH_TARGETS.findIndex((one) => one.address === address)
      const fault = getFault(instance, target)
      if (fault === 'hangs') await clock.sleep(CONNECT_TIMEOUT_MS)
      if (fault === 'silent') await clock.sleep(PROBE_TIMEOUT_MS)
      if (!isConnectable(instance, target)) return 'failed'
      return fault === 'silent' ? 'silent' : 'answered'
    }))
  }

  function place (instance: SimulatedInstance, request: ReachRequest, triesLeft: number, tried: Set<number>): void {
    const loads = instance.loads.getLoads('s').filter(({ target }) => !tried.has(findIndex(target.id)))
    const placement = choosePlacement({
      candidates: loads.map((load) => ({
        ...load, id: load.target.id, slots: SLOTS, isNear: load.target.failureDomain === instance.own.failureDomain
      })),
      targetLatencyMs: 300,
      instances: count,
      meanRunMs: RUN_MS,
      mayQueue: false,
      isRepeatable: true,
      isContinuation: false
    }, RELAY_RULES.live, random)
    if (placement.type === 'wait') return
    const target = findIndex(placement.id)
    const now = clock.now()
    const run: SimulatedRun = {
      request,
      target,
      state: 'connecting',
      connectAt: now,
      sentAt: now,
      lastBytesAt: now,
      hasBytes: false,
      isNew: false,
      doneMs: 0,
      triesLeft,
      tried
    }
    instance.loads.begin(placement.id, 'live')
    instance.isChanged = true
    instance.runs.add(run)
    const { address } = REACH_TARGETS[target]!
    if (instance.idle[target]! > 0 && instance.paths.isDirectUsable(address)) {
      instance.idle[target]! -= 1
      run.state = 'open'
      return
    }
    const path = instance.paths.choose(address)
    if (path.type === 'peer') {
      run.via = Number(path.instance)
      outcome.carried[run.via] = (outcome.carried[run.via] ?? 0) + 1
    }
    run.connectAt = now + (getFault(run.via ?? instance.index, target) === 'hangs' ? CONNECT_TIMEOUT_MS : 0)
  }

  function end (instance: SimulatedInstance, run: SimulatedRun): void {
    if (!instance.runs.delete(run)) return
    instance.loads.end(REACH_TARGETS[run.target]!.id, 'live')
    instance.isChanged = true
  }

  function retry (instance: SimulatedInstance, run: SimulatedRun, fault?: { reason: string, kind: FaultKind }): void {
    end(instance, run)
    if (fault !== undefined) instance.loads.recordFailure(REACH_TARGETS[run.target]!.id, fault.reason, fault.kind)
    if (run.triesLeft > 0) place(instance, run.request, run.triesLeft - 1, new Set([...run.tried, run.target]))
  }

  function connect (instance: SimulatedInstance, run: SimulatedRun): void {
    const { address } = REACH_TARGETS[run.target]!
    const isConnected = isConnectable(run.via ?? instance.index, run.target)
    if (run.via !== undefined) {
      instance.paths.recordPeerOutcome(String(run.via), address, isConnected ? 'connected' : 'targetFailed')
    } else if (isConnected) {
      outcome.connects.push({ ms: clock.now(), instance: instance.index })
    } else {
      instance.paths.recordConnectFailed(address)
    }
    // The belief may have changed, whereby the run has moved already.
    if (!instance.runs.has(run)) return
    if (!isConnected) return retry(instance, run, { reason: 'connectFailed', kind: 'connect' })
    run.state = 'open'
    run.isNew = true
    run.sentAt = clock.now()
    run.lastBytesAt = run.sentAt
  }

  function receive (instance: SimulatedInstance, run: SimulatedRun): void {
    const now = clock.now()
    const fault = getFault(run.via ?? instance.index, run.target)
    const { address, id } = REACH_TARGETS[run.target]!
    if (fault === 'refuses') return retry(instance, run, { reason: 'broken', kind: 'cut' })
    const isFlowing = fault === undefined || fault === 'refusesNew'
    const waitMs = run.hasBytes ? GAP_MS : FIRST_BYTES_MS
    if (isFlowing && now - run.lastBytesAt >= waitMs) {
      if (run.via === undefined && run.isNew && !run.hasBytes) instance.paths.recordConnected(address)
      if (run.via === undefined) instance.paths.recordBytes(address)
      if (!run.hasBytes) {
        run.request.firstMs ??= now - run.request.arrivedAt
        instance.loads.recordSuccess(id, run.sentAt)
      }
      run.hasBytes = true
      run.lastBytesAt = now
      run.doneMs += waitMs
      if (run.doneMs < RUN_MS) return
      run.request.isServed = now - run.request.arrivedAt <= DEADLINE_MS
      end(instance, run)
      if (run.via === undefined) instance.idle[run.target]! += 1
      return
    }
    if (now - run.lastBytesAt < (run.hasBytes ? GAP_SILENCE_MS : FIRST_SILENCE_MS)) return
    if (run.via === undefined) instance.paths.recordSilent(address)
    if (instance.runs.has(run)) retry(instance, run, { reason: 'silent', kind: 'silence' })
  }

  /** Moves what hangs as soon as the path is lost, like the relay. */
  for (const instance of instances) {
    instance.paths.onLost(() => {
      for (const run of [...instance.runs]) {
        const isHanging = run.via === undefined && !instance.paths.isDirectUsable(REACH_TARGETS[run.target]!.address)
        if (run.state === 'connecting' || isHanging) retry(instance, run)
      }
    })
  }

  function report (sender: SimulatedInstance): void {
    const now = clock.now()
    if (!sender.isChanged && now - sender.reportedAt < HEARTBEAT_MS) return
    const suspects = sender.loads.getOwnSuspects()
    sender.own = {
      ...sender.own,
      uses: sender.loads.getOwnUses(),
      suspects: suspects.all,
      unreached: suspects.unreached,
      isCutOff: sender.paths.isCutOff()
    }
    sender.reportedAt = now
    sender.isChanged = false
    for (const receiver of instances) {
      if (receiver === sender) continue
      const before = receiver.reports.get(sender.own.instance)?.report
      receiver.reports.set(sender.own.instance, { report: sender.own, lastReceivedAt: now })
      receiver.peerUses.replaceReport(before, sender.own)
    }
  }

  function sample (instance: SimulatedInstance): void {
    const suspects = instance.loads.getLoads('s').filter(({ isSuspect }) => isSuspect)
      .map(({ target }) => findIndex(target.id))
    outcome.samples.push({
      ms: clock.now(), instance: instance.index, isCutOff: instance.paths.isCutOff(), suspects: new Set(suspects)
    })
  }

  while (clock.now() < pattern.lengthMs) {
    await clock.advance(TICK_MS)
    const now = clock.now()
    for (const instance of instances) {
      for (const run of [...instance.runs]) {
        if (!instance.runs.has(run)) continue
        if (now - run.request.arrivedAt > DEADLINE_MS) end(instance, run)
        else if (run.state === 'open') receive(instance, run)
        else if (now >= run.connectAt) connect(instance, run)
      }
      if (now < pattern.lengthMs - DEADLINE_MS && random() < (pattern.perSecond ?? 6) * TICK_MS / MS_PER_S) {
        const request: ReachRequest = { instance: instance.index, arrivedAt: now, isServed: false }
        outcome.requests.push(request)
        place(instance, request, TRIES - 1, new Set())
      }
      report(instance)
      if (now % SAMPLE_MS === 0) sample(instance)
    }
  }
  instances.forEach(({ paths }) => paths.close())
  return outcome
}
