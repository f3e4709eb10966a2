/** Injects faults into a running deployment and ends them. */
import { setTimeout as pause } from 'node:timers/promises'
import type { LinkMode } from '@pimentoplank/standins'
import { PATHS, type EndlessBytes } from 'pimentoplank-platform/testing'
import type { Fault, FaultKind } from './plan'
import type { SoakFleet, SoakInstance, SoakTarget } from './soakFleet'
import { disturb, injectPauses, injectVersions } from './versionFaults'

/** Starts a fault; returns a function that ends it, or undefined where there is nothing to end. */
type Injector = (fleet: SoakFleet, fault: Fault) => (() => void) | undefined

const STREAM_PATHS = [PATHS.resumable, PATHS.once, PATHS.batch]
const LINK_MODES: readonly LinkMode[] = ['silent', 'oldSilent', 'oneWay', 'slow', 'cut']
/** Ways in which an instance is cut off from all targets. */
const CUT_MODES: readonly LinkMode[] = ['held', 'cut', 'refuseNew']
/** Limits of targets, in requests a second. */
const MIN_LIMIT = 2
const LIMIT_RANGE = 4
const ENDLESS_BYTES: readonly EndlessBytes[] = [
  { first: '', repeated: 'noise' },
  { first: 'HTTP/1.1 200 OK\r\n', repeated: 'X-Noise: noise\r\n' },
  { first: 'HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\n', repeated: 'noise' },
  { first: 'HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\r\n', repeated: 'noise', isNotRun: true }
]
/** Share of the instances that `killMany` kills. */
const KILLED_SHARE = 0.6
/** Most instances that `instanceCut` cuts off. */
const MAX_CUT = 3

function pickItem<Item> (items: readonly Item[], pick: number): Item | undefined {
  return items[pick % items.length]
}

/** Picks an instance that no other fault affects; leaves at least one instance unaffected. */
function pickInstance (fleet: SoakFleet, pick: number): SoakInstance | undefined {
  const free = fleet.instances.filter(({ isHeld, stoppedAt }) => !isHeld && stoppedAt === undefined)
  return free.length > 1 ? pickItem(free, pick) : undefined
}

/** Picks a listed target; leaves at least two. */
function pickTarget (fleet: SoakFleet, pick: number): SoakTarget | undefined {
  const usable = fleet.getUsableTargets()
  return usable.length > 2 ? pickItem(usable, pick) : undefined
}

function killInstance (fleet: SoakFleet, instance: SoakInstance): () => void {
  instance.isHeld = true
  instance.disturbedAt.push(Date.now())
  instance.touchedAt.push(Date.now())
  instance.child.kill('SIGKILL')
  return () => fleet.restart(instance)
}

function failTarget ({ faults, framing }: SoakTarget['standin'], pick: number): void {
  // Without a length or chunks, an orderly close ends a plain body regularly, and a stream between two events.
  const isUnframed = framing === 'connection'
  const paths = isUnframed ? STREAM_PATHS : undefined
  const variants: Array<() => void> = [
    () => { faults.status = 500 },
    () => { faults.isFull = true },
    () => { faults.unsigned = true },
    () => { faults.wrongId = true },
    () => { faults.breakOff = { events: 3, by: isUnframed ? 'reset' : 'close' } },
    () => { faults.breakOff = { events: 3, partialBytes: 9, by: 'close', paths } },
    () => { faults.breakOff = { events: 3, partialBytes: 9, by: 'reset' } },
    () => { faults.breakOff = { events: 3, by: 'reset' } },
    () => { faults.breakOff = { events: 0, by: 'reset' } },
    () => { faults.breakOff = { events: 0, by: 'close', paths } },
    () => { faults.silentAfter = 3 },
    () => { faults.forgetsAfterMs = 100 },
    () => { faults.extra = 'HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nContent-Length: 3\r\n\r\nbad' }
  ]
  variants[pick % variants.length]!()
}

function createStoreInjector (fault: 'busy' | 'silent' | 'loseAnswers'): Injector {
  return ({ store, instances }, { pick }) => {
    // Half of the picks affect all instances, the others just one.
    const instance = pick % 2 === 0 ? '' : pickItem(instances, pick >> 1)!.id
    store.setFault(fault, instance)
    return () => store.setFault('none', instance)
  }
}

const INJECTORS: Record<FaultKind, Injector> = {
  stop: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    if (instance === undefined) return undefined
    instance.stoppedAt = Date.now()
    instance.touchedAt.push(instance.stoppedAt)
    instance.child.kill('SIGTERM')
    return undefined
  },
  kill: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    return instance === undefined ? undefined : killInstance(fleet, instance)
  },
  killMany: (fleet, { pick }) => {
    const count = Math.floor(fleet.instances.length * KILLED_SHARE)
    const ends: Array<() => void> = []
    for (let index = 0; index < count; index++) {
      const instance = pickInstance(fleet, pick + index)
      if (instance !== undefined) ends.push(killInstance(fleet, instance))
    }
    return () => ends.forEach((end) => end())
  },
  freeze: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    if (instance === undefined) return undefined
    instance.isHeld = true
    instance.disturbedAt.push(Date.now())
    instance.touchedAt.push(Date.now())
    instance.child.kill('SIGSTOP')
    return () => {
      instance.isHeld = false
      instance.disturbedAt.push(Date.now())
      instance.touchedAt.push(Date.now())
      instance.child.kill('SIGCONT')
    }
  },
  hangUp: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    instance?.touchedAt.push(Date.now())
    instance?.child.kill('SIGHUP')
    return undefined
  },
  storeBusy: createStoreInjector('busy'),
  storeSilent: createStoreInjector('silent'),
  storeLosesAnswers: createStoreInjector('loseAnswers'),
  storeForgets: ({ store }) => {
    store.compact()
    return undefined
  },
  storeLink: ({ instances }, { pick }) => {
    const { store } = pickItem(instances, pick)!
    store.setMode(LINK_MODES[pick % LINK_MODES.length]!)
    return () => store.setMode('open')
  },
  targetCrash: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    disturb(target)
    target.standin.crash().catch(() => undefined)
    // The entry of a crashed target expires some time after its last heartbeat.
    return () => {
      fleet.removeTarget(target)
      fleet.addTarget(target.standin.version).catch(() => undefined)
    }
  },
  targetLeaves: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    fleet.removeTarget(target)
    return () => { fleet.addTarget(target.standin.version).catch(() => undefined) }
  },
  targetFails: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    failTarget(target.standin, pick)
    const endDisturbance = disturb(target)
    return () => {
      endDisturbance()
      const { crashingPart, limitPerSecond, endless, pause, tellsLeaving } = target.standin.faults
      const { faults } = target.standin
      for (const name of Object.keys(faults) as Array<keyof typeof faults>) faults[name] = undefined
      // Long faults end by themselves.
      Object.assign(faults, { crashingPart, limitPerSecond, endless, pause, tellsLeaving })
    }
  },
  targetLink: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    target.link.setMode(LINK_MODES[pick % LINK_MODES.length]!)
    const endDisturbance = disturb(target)
    return () => {
      endDisturbance()
      target.link.setMode('open')
    }
  },
  crashingPart: (fleet, { pick }) => {
    fleet.crashingPart = `bad${pick}`
    for (const { standin } of fleet.getUsableTargets()) standin.faults.crashingPart = fleet.crashingPart
    fleet.getUsableTargets().forEach(disturb)
    return () => { fleet.crashingPart = undefined }
  },
  targetLimit: (fleet, { pick }) => {
    const limited = fleet.getUsableTargets().filter((_, index) => index % 2 === pick % 2)
    for (const { standin } of limited) standin.faults.limitPerSecond = MIN_LIMIT + pick % LIMIT_RANGE
    const ends = limited.map(disturb)
    return () => {
      ends.forEach((end) => end())
      for (const { standin } of limited) standin.faults.limitPerSecond = undefined
    }
  },
  targetEndless: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    target.standin.faults.endless = pickItem(ENDLESS_BYTES, pick)
    const endDisturbance = disturb(target)
    return () => {
      endDisturbance()
      target.standin.faults.endless = undefined
    }
  },
  targetTellsLeaving: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    const { faults, version } = target.standin
    faults.tellsLeaving = 'always'
    // It ends at last, and another one comes.
    return () => {
      disturb(target)
      fleet.removeTarget(target)
      target.standin.crash().catch(() => undefined)
      fleet.addTarget(version).catch(() => undefined)
    }
  },
  targetPauses: injectPauses,
  targetVersions: injectVersions,
  instanceCut: (fleet, { pick }) => {
    const mode = pickItem(CUT_MODES, pick)!
    const rest = Math.floor(pick / CUT_MODES.length)
    const cut = fleet.instances.filter((_, index) => (index + rest) % fleet.instances.length < 1 + rest % MAX_CUT)
    const span = { from: Date.now(), to: Infinity }
    for (const instance of cut) {
      instance.cuts.push(span)
      fleet.setTargetLinks(instance, mode)
    }
    return () => {
      span.to = Date.now()
      for (const instance of cut) fleet.setTargetLinks(instance, 'open')
    }
  },
  configuration: (fleet) => {
    fleet.publishConfig()
    return undefined
  }
}

/** An injected fault, with its start and end as wall clock time in milliseconds. */
export interface InjectedFault {
  kind: FaultKind
  from: number
  to: number
}

/** Injects each fault at its time; resolves when the last one has ended. */
export async function injectFaults (fleet: SoakFleet, faults: readonly Fault[]): Promise<InjectedFault[]> {
  return await Promise.all(faults.map(async (fault) => {
    await pause(fault.atMs)
    const from = Date.now()
    const end = INJECTORS[fault.kind](fleet, fault)
    await pause(fault.forMs)
    end?.()
    return { kind: fault.kind, from, to: Date.now() }
  }))
}
