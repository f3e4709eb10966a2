/** Puts faults into effect and takes them back. */
import { setTimeout as pause } from 'node:timers/promises'
import type { LinkMode } from '@pimentoplank/standins'
import type { Fault, FaultKind } from './plan'
import type { SoakFleet, SoakInstance, SoakTarget } from './soakFleet'

/** Begins a fault; returns the way to end it. */
type Injector = (fleet: SoakFleet, fault: Fault) => (() => void) | undefined

const LINK_MODES: readonly LinkMode[] = ['silent', 'oldSilent', 'oneWay', 'slow', 'cut']
/** Share of the instances that are killed together. */
const KILLED_SHARE = 0.6

function pickFrom<Item> (items: readonly Item[], pick: number): Item | undefined {
  return items[pick % items.length]
}

/** An instance that no other fault holds; some instance always stays. */
function pickInstance (fleet: SoakFleet, pick: number): SoakInstance | undefined {
  const free = fleet.instances.filter(({ isHeld, stoppedAt }) => !isHeld && stoppedAt === undefined)
  return free.length > 1 ? pickFrom(free, pick) : undefined
}

/** A target that is listed; two always stay. */
function pickTarget (fleet: SoakFleet, pick: number): SoakTarget | undefined {
  const usable = fleet.usableTargets()
  return usable.length > 2 ? pickFrom(usable, pick) : undefined
}

function kill (fleet: SoakFleet, instance: SoakInstance): () => void {
  instance.isHeld = true
  instance.disturbedAt.push(Date.now())
  instance.child.kill('SIGKILL')
  return () => fleet.restart(instance)
}

function failTarget ({ faults }: SoakTarget['standin'], pick: number): void {
  const variants: Array<() => void> = [
    () => { faults.status = 500 },
    () => { faults.isFull = true },
    () => { faults.unsigned = true },
    () => { faults.wrongId = true },
    () => { faults.cutAfter = 3 },
    () => { faults.silentAfter = 3 },
    () => { faults.forgetsAfterMs = 100 },
    () => { faults.extra = 'HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nContent-Length: 3\r\n\r\nbad' }
  ]
  variants[pick % variants.length]!()
}

function setStore (fault: 'busy' | 'silent' | 'loseAnswers'): Injector {
  return ({ store, instances }, { pick }) => {
    // Every other time only one instance is concerned.
    const instance = pick % 2 === 0 ? '' : pickFrom(instances, pick >> 1)!.id
    store.setFault(fault, instance)
    return () => store.setFault('none', instance)
  }
}

const INJECTORS: Record<FaultKind, Injector> = {
  stop: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    if (instance === undefined) return undefined
    instance.stoppedAt = Date.now()
    instance.child.kill('SIGTERM')
    return undefined
  },
  kill: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    return instance === undefined ? undefined : kill(fleet, instance)
  },
  killMany: (fleet, { pick }) => {
    const count = Math.floor(fleet.instances.length * KILLED_SHARE)
    const ends: Array<() => void> = []
    for (let index = 0; index < count; index++) {
      const instance = pickInstance(fleet, pick + index)
      if (instance !== undefined) ends.push(kill(fleet, instance))
    }
    return () => ends.forEach((end) => end())
  },
  freeze: (fleet, { pick }) => {
    const instance = pickInstance(fleet, pick)
    if (instance === undefined) return undefined
    instance.isHeld = true
    instance.disturbedAt.push(Date.now())
    instance.child.kill('SIGSTOP')
    return () => {
      instance.isHeld = false
      instance.disturbedAt.push(Date.now())
      instance.child.kill('SIGCONT')
    }
  },
  hangUp: (fleet, { pick }) => {
    pickInstance(fleet, pick)?.child.kill('SIGHUP')
    return undefined
  },
  storeBusy: setStore('busy'),
  storeSilent: setStore('silent'),
  storeLosesAnswers: setStore('loseAnswers'),
  storeForgets: ({ store }) => {
    store.compact()
    return undefined
  },
  storeLink: ({ instances }, { pick }) => {
    const { store } = pickFrom(instances, pick)!
    store.set(LINK_MODES[pick % LINK_MODES.length]!)
    return () => store.set('open')
  },
  targetCrash: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    target.standin.crash().catch(() => undefined)
    // Its entry lapses when it was silent for a while.
    return () => {
      fleet.removeTarget(target)
      fleet.addTarget().catch(() => undefined)
    }
  },
  targetLeaves: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    fleet.removeTarget(target)
    return () => { fleet.addTarget().catch(() => undefined) }
  },
  targetFails: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    failTarget(target.standin, pick)
    return () => {
      const { faults } = target.standin
      for (const name of Object.keys(faults) as Array<keyof typeof faults>) faults[name] = undefined
    }
  },
  targetLink: (fleet, { pick }) => {
    const target = pickTarget(fleet, pick)
    if (target === undefined) return undefined
    target.link.set(LINK_MODES[pick % LINK_MODES.length]!)
    return () => target.link.set('open')
  },
  configuration: (fleet) => {
    fleet.configure()
    return undefined
  }
}

/** A fault as it was played, in wall clock time. */
export interface PlayedFault {
  kind: FaultKind
  from: number
  to: number
}

/** Plays faults at their times; resolves when the last one is over. */
export async function injectFaults (fleet: SoakFleet, faults: readonly Fault[]): Promise<PlayedFault[]> {
  return await Promise.all(faults.map(async (fault) => {
    await pause(fault.atMs)
    const from = Date.now()
    const end = INJECTORS[fault.kind](fleet, fault)
    await pause(fault.forMs)
    end?.()
    return { kind: fault.kind, from, to: Date.now() }
  }))
}
