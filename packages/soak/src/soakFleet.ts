/** The deployment of one run: instances as processes, stand-ins for store and targets, and links that take faults. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { createLink, type Link, type LinkMode } from '@pimentoplank/standins'
import type { BodyFraming } from 'pimentoplank/shared'
import {
  entryOf, PORTS, settingsText, startReplicaStandin, startStoreStandin, usualConfig,
  type ReplicaOptions, type ReplicaStandin, type StoreStandin
} from 'pimentoplank-platform/testing'

/** Period in wall clock milliseconds. */
export interface Span {
  from: number
  to: number
}

export interface SoakInstance {
  id: string
  ip: string
  /** Path of its program. */
  program: string
  /** Address for callers. */
  address: string
  store: Link
  child: ChildProcess
  /** Time of the last stop signal; undefined while the instance serves. */
  stoppedAt?: number
  /** True while a fault keeps the instance killed or frozen. */
  isHeld: boolean
  /** Times at which it was killed, frozen or resumed, as wall clock time in milliseconds. */
  disturbedAt: number[]
  /** Times at which it was started or got any signal, as wall clock time in milliseconds. */
  touchedAt: number[]
  /** Periods in which it had a process, in order; the last one ends with `Infinity` while it lives. */
  lives: Span[]
  /** Periods in which it was cut off from all targets; the last one ends with `Infinity` while it lasts. */
  cuts: Span[]
  /** Descriptions of process exits that no fault caused. */
  crashes: string[]
}

export interface SoakTarget {
  standin: ReplicaStandin
  link: Link
  startedAt: number
  /** Periods of faults other than pauses; those that last end with `Infinity`. */
  disturbed: Span[]
  /** Time at which the target was removed from the store. */
  leftAt?: number
}

export interface SoakFleet {
  store: StoreStandin
  /** Prompt part on which targets crash now; callers then send requests with it. */
  crashingPart?: string
  /** True while callers send more live requests than usual. */
  isBusy: boolean
  instances: SoakInstance[]
  /** All targets ever started, in order of their start; removed ones stay listed. */
  targets: SoakTarget[]
  getUsableTargets: () => SoakTarget[]
  addTarget: (version?: string) => Promise<SoakTarget>
  /**
   * Crashes a target and starts it at once under its id and address, at another software version. Its entry follows
   * after `entryDelayMs` milliseconds; until then the old one stays.
   */
  restartTarget: (target: SoakTarget, version: string, entryDelayMs: number) => Promise<void>
  /** Removes a target from the store. */
  removeTarget: (target: SoakTarget) => void
  restart: (instance: SoakInstance) => void
  /** Changes the mode of the paths between an instance and all targets, later ones included. */
  setTargetLinks: (instance: SoakInstance, mode: LinkMode) => void
  /** When each version of the configuration was written, in wall clock milliseconds. */
  configurations: Array<{ version: number, at: number }>
  /** Writes the next configuration; each version adds a route of its own. */
  publishConfig: () => void
  close: () => Promise<void>
}

export interface SoakFleetOptions {
  instances: number
  targets: number
  /** Folder for settings and logs. */
  folder: string
  /** Number that distinguishes the runs of one process. */
  run: number
  /** Programs of other versions, for the first instances in turn; the others run the present one. */
  programs?: readonly string[]
}

/** Bundle of the real program. */
const PROGRAM = path.resolve('target/pimentoplank-entry.cjs')
const HEAP_MB = 160
const RESTART_DELAY_MS = 300
/** Time until a target that a request has crashed is replaced, in milliseconds. */
const CRASHED_MS = 1500
const FAILURE_DOMAINS = ['a', 'b', 'c']
/** How responses of targets define the end of their bodies, in turn. */
const FRAMINGS: readonly BodyFraming[] = ['chunks', 'length', 'connection']
const TARGET_OPTIONS = { slots: 4, events: 12, eventMs: 20 }

/** Starts a deployment; does not wait until its instances are ready. */
export async function startSoakFleet (options: SoakFleetOptions): Promise<SoakFleet> {
  mkdirSync(options.folder, { recursive: true })
  const store = await startStoreStandin()
  const instances: SoakInstance[] = []
  const targets: SoakTarget[] = []
  const targetModes = new Map<string, LinkMode>()
  const configurations: SoakFleet['configurations'] = []
  let version = 0
  let isClosed = false

  function configure (): void {
    const config = usualConfig(++version)
    config.routes.push({ ...config.routes[0], name: `extra-${version}`, path_prefix: `/extra-${version}/` })
    store.write('config', 'main', config)
    configurations.push({ version, at: Date.now() })
  }

  async function addTarget (version?: string): Promise<SoakTarget> {
    const framing = FRAMINGS[targets.length % FRAMINGS.length]
    return await startTarget({ id: `target-${targets.length + 1}`, framing, version })
  }

  async function restartTarget (target: SoakTarget, version: string, entryDelayMs: number): Promise<void> {
    const { standin: { id, framing, address, crash }, link } = target
    target.leftAt = Date.now()
    await crash()
    await startTarget({ id, framing, version, address }, { link, entryDelayMs })
  }

  async function startTarget (
    identity: ReplicaOptions,
    { link: givenLink, entryDelayMs = 0 }: { link?: Link, entryDelayMs?: number } = {}
  ): Promise<SoakTarget> {
    const standin = await startReplicaStandin({
      ...TARGET_OPTIONS,
      ...identity,
      onCrash: () => { setTimeout(() => replaceTarget(target), CRASHED_MS) }
    })
    standin.faults.crashingPart = fleet.crashingPart
    const link = givenLink ?? await createLink(standin.address)
    for (const [ip, mode] of targetModes) link.setModeFrom([ip], mode)
    const target: SoakTarget = { standin, link, startedAt: Date.now(), disturbed: [] }
    targets.push(target)
    const register = (): void => {
      if (target.leftAt === undefined) store.write('servers', standin.id, { ...entryOf(standin), address: link.address })
    }
    if (entryDelayMs > 0) setTimeout(register, entryDelayMs)
    else register()
    return target
  }

  function replaceTarget (target: SoakTarget): void {
    if (isClosed) return
    fleet.removeTarget(target)
    addTarget(target.standin.version).catch(() => undefined)
  }

  function launch (instance: SoakInstance): ChildProcess {
    const file = path.join(options.folder, `${instance.id}.toml`)
    const log = createWriteStream(path.join(options.folder, `${instance.id}.log`), { flags: 'a' })
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, instance.program], {
      env: { PATH: process.env.PATH, PIMENTOPLANK_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    instance.touchedAt.push(Date.now())
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    const life = { from: Date.now(), to: Infinity }
    instance.lives.push(life)
    child.once('exit', (code, signal) => {
      life.to = Date.now()
      if (isClosed || instance.child !== child) return
      const hasFailed = code !== null && code !== 0
      const isPlanned = (instance.stoppedAt !== undefined && !hasFailed) || signal === 'SIGKILL'
      if (!isPlanned) instance.crashes.push(`${instance.id} exited unexpectedly: ${code ?? signal}`)
      if (!instance.isHeld) setTimeout(() => restart(instance), RESTART_DELAY_MS)
    })
    return child
  }

  function restart (instance: SoakInstance): void {
    if (isClosed) return
    instance.isHeld = false
    instance.stoppedAt = undefined
    instance.child = launch(instance)
  }

  async function addInstance (index: number): Promise<void> {
    const id = `front-${index + 1}`
    const ip = `127.${100 + process.pid % 100}.${1 + options.run % 250}.${index + 1}`
    const link = await createLink(store.address)
    const seeds = instances.slice(0, 3).map((one) => `${one.ip}:${PORTS.peers}`)
    const zone = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!
    writeFileSync(path.join(options.folder, `${id}.toml`), settingsText({ id, ip, seeds, zone, store: link.address }))
    const instance: SoakInstance = {
      id,
      ip,
      program: options.programs?.[index] ?? PROGRAM,
      address: `${ip}:${PORTS.callers}`,
      store: link,
      child: undefined as never,
      isHeld: false,
      disturbedAt: [],
      touchedAt: [],
      lives: [],
      cuts: [],
      crashes: []
    }
    instance.child = launch(instance)
    instances.push(instance)
  }

  const fleet: SoakFleet = {
    store,
    isBusy: false,
    instances,
    targets,
    getUsableTargets: () => targets.filter(({ leftAt }) => leftAt === undefined),
    addTarget,
    restartTarget,
    removeTarget: (target) => {
      if (target.leftAt !== undefined) return
      store.remove('servers', target.standin.id)
      target.leftAt = Date.now()
    },
    restart,
    setTargetLinks: ({ ip }, mode) => {
      targetModes.set(ip, mode)
      for (const { link } of targets) link.setModeFrom([ip], mode)
    },
    configurations,
    publishConfig: configure,
    close
  }

  configure()
  for (let index = 0; index < options.targets; index++) await addTarget()
  for (let index = 0; index < options.instances; index++) await addInstance(index)

  return fleet

  async function close (): Promise<void> {
    isClosed = true
    for (const { child } of instances) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all(targets.map(async ({ standin, link }) => {
      await standin.crash()
      await link.close()
    }))
    await Promise.all(instances.map(async ({ store: link }) => await link.close()))
    await store.close()
  }
}
