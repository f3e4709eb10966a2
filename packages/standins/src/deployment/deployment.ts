/** Starts a whole deployment on this machine: stand-ins and programs, each as its own process. */
import { mkdir, writeFile } from 'node:fs/promises'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import type { InstanceRecord } from 'pimentoplank/shared'
import { request } from 'undici'
import type { DeploymentPlan } from './plan'
import { createLink, type Link } from '../link'
import { startProcess, type RunningProcess } from './runningProcess'

export const DEPLOYMENT_PEER_KEY = 'development-peer-key'
const PROGRAMS = ['controller', 'entry', 'batch'] as const
type Program = typeof PROGRAMS[number]

export interface StartOptions {
  plan: DeploymentPlan
  /** Folder for settings and logs. */
  folder: string
  /** Repository root; found from this file when absent. */
  root?: string
  /** Puts a link before each target, each peer address and each program's way to the platform. */
  links?: boolean
}

export interface Deployment {
  platformUrl: string
  /** Caller addresses of the entry instances. */
  entryAddresses: () => string[]
  processes: ReadonlyMap<string, RunningProcess>
  /** Links by the instance or target that they lead to; `platform:<id>` leads from an instance to the platform. */
  links: ReadonlyMap<string, Link>
  /** Settings file of the operators' command line. */
  cliSettings: string
  /** Starts an instance again under its name. */
  restart: (id: string) => Promise<RunningProcess>
  /** Ends every process: programs by SIGTERM and within a bound, then the stand-ins. */
  stop: (options?: { graceMs?: number }) => Promise<Array<{ id: string, code: number | null }>>
}

interface Member {
  id: string
  role: string
  service?: string
  failureDomain: string
}

const DEFAULT_STOP_GRACE_MS = 10_000

/** Finds the repository root from a bundle in `packages/standins/dist` or a source file in `packages/standins/src`. */
function findRoot (): string {
  const here = path.dirname(fileURLToPath(import.meta.url))
  return here.slice(0, here.lastIndexOf(`${path.sep}packages${path.sep}`))
}

/** Starts the deployment and waits until every process listens. */
export async function startDeployment (options: StartOptions): Promise<Deployment> {
  const { plan, folder } = options
  const root = options.root ?? findRoot()
  await mkdir(folder, { recursive: true })
  const processes = new Map<string, RunningProcess>()
  const links = new Map<string, Link>()
  const starters = new Map<string, () => Promise<RunningProcess>>()

  function bundle (packageName: string, name: string): string {
    return path.join(root, 'packages', packageName, 'dist', `${name}.js`)
  }

  async function launch (id: string, file: string, args: readonly string[]): Promise<RunningProcess> {
    const started = await startProcess({ id, file, args, logFile: path.join(folder, `${id}.log`) })
    processes.set(id, started)
    return started
  }

  const platform = await launch('platform', bundle('standins', 'standin-platform'), ['--port', '0', ...plan.platformArgs])
  const platformUrl = `http://${platform.listening.address}`

  /** Address to use for a far end: a new link to it, or the far end itself. */
  async function linkTo (name: string, address: string): Promise<string> {
    if (options.links !== true) return address
    await links.get(name)?.close()
    const link = await createLink(address)
    links.set(name, link)
    return link.address
  }

  function domainOf (index: number): string {
    return plan.failureDomains[index % plan.failureDomains.length]!
  }

  async function launchTarget (member: Member, program: string, args: readonly string[]): Promise<RunningProcess> {
    const started = await launch(member.id, bundle('standins', program), [
      '--port', '0', '--platform', platformUrl, '--id', member.id, '--service', member.service!,
      '--failure-domain', member.failureDomain, '--region', plan.region, ...args
    ])
    const address = await linkTo(member.id, started.listening.address)
    if (options.links === true) await relistTarget(platformUrl, member.id, address)
    return started
  }

  async function launchProgram (member: Member, program: Program): Promise<RunningProcess> {
    const file = path.join(folder, `${member.id}.json`)
    const platformAddress = await linkTo(`platform:${member.id}`, platform.listening.address)
    const settings = programSettings({ member, program, plan, platformUrl: `http://${platformAddress}` })
    await writeFile(file, JSON.stringify(settings, null, 2))
    const started = await launch(member.id, bundle('pimentoplank', `pimentoplank-${program}`), ['--config', file])
    const { address, peerAddress } = started.listening
    await putRecord(platformUrl, {
      id: member.id,
      role: member.role,
      address,
      peerAddress: peerAddress === undefined ? undefined : await linkTo(member.id, peerAddress),
      failureDomain: member.failureDomain,
      region: plan.region,
      state: 'live'
    })
    return started
  }

  async function start (id: string, starter: () => Promise<RunningProcess>): Promise<void> {
    starters.set(id, starter)
    await starter()
  }

  const targets = [
    ...plan.engines.flatMap((group) => numbered(group.service, group.count).map((id) => ({ id, group, program: 'standin-engine' }))),
    ...plan.services.flatMap((group) => numbered(group.service, group.count).map((id) => ({ id, group, program: 'standin-service' })))
  ]
  await Promise.all(targets.map(async ({ id, group, program }, index) => {
    const member = { id, role: program, service: group.service, failureDomain: domainOf(index) }
    await start(id, async () => await launchTarget(member, program, group.args))
  }))

  const counts = { controller: plan.controllers, entry: plan.entries, batch: plan.batches }
  await Promise.all(PROGRAMS.flatMap((program) => numbered(program, counts[program]).map(async (id, index) => {
    const member = { id, role: program, failureDomain: domainOf(index) }
    await start(id, async () => await launchProgram(member, program))
  })))

  const entryIds = numbered('entry', plan.entries)
  const cliSettings = path.join(folder, 'cli.json')
  const entryAddresses = (): string[] => entryIds.map((id) => processes.get(id)!.listening.address)
  await writeFile(cliSettings, JSON.stringify(cliSettingsOf(platformUrl, entryAddresses()), null, 2))

  return {
    platformUrl,
    entryAddresses,
    processes,
    links,
    cliSettings,
    restart: async (id) => {
      await starters.get(id)!()
      return processes.get(id)!
    },
    stop: async ({ graceMs = DEFAULT_STOP_GRACE_MS } = {}) => {
      const ended = await stopAll(processes, graceMs)
      await Promise.all([...links.values()].map(async (link) => await link.close()))
      return ended
    }
  }
}

function numbered (name: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${name}-${index + 1}`)
}

function cliSettingsOf (platformUrl: string, entries: string[]): object {
  return { platform: { url: platformUrl }, peers: { sharedKey: DEPLOYMENT_PEER_KEY }, entries }
}

interface SettingsContext {
  member: Member
  program: Program
  plan: DeploymentPlan
  platformUrl: string
}

function programSettings ({ member, program, plan, platformUrl }: SettingsContext): object {
  return {
    instance: { id: member.id, failureDomain: member.failureDomain, region: plan.region },
    platform: { url: platformUrl },
    peers: { listen: { host: '127.0.0.1', port: 0 }, sharedKey: DEPLOYMENT_PEER_KEY },
    ...(program === 'entry' ? { listen: { host: '127.0.0.1', port: 0 } } : {}),
    ...plan.settings[program]
  }
}

/** Lists a target under another address. */
async function relistTarget (platformUrl: string, id: string, address: string): Promise<void> {
  const res = await request(`${platformUrl}/v1/instances`)
  const { instances } = await res.body.json() as { instances: InstanceRecord[] }
  await putRecord(platformUrl, { ...instances.find((record) => record.id === id)!, address })
}

async function putRecord (platformUrl: string, record: { id: string } & Record<string, unknown>): Promise<void> {
  const res = await request(`${platformUrl}/_control/instances/${record.id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(record)
  })
  await res.body.dump()
}

async function stopAll (
  processes: ReadonlyMap<string, RunningProcess>,
  graceMs: number
): Promise<Array<{ id: string, code: number | null }>> {
  const all = [...processes.values()]
  const programs = all.filter((running) => isProgram(running.id))
  const standins = all.filter((running) => !isProgram(running.id))
  const stop = async (running: RunningProcess): Promise<{ id: string, code: number | null }> =>
    await stopOne(running, graceMs)
  return [...await Promise.all(programs.map(stop)), ...await Promise.all(standins.map(stop))]
}

function isProgram (id: string): boolean {
  return PROGRAMS.some((program) => id.startsWith(`${program}-`))
}

async function stopOne (running: RunningProcess, graceMs: number): Promise<{ id: string, code: number | null }> {
  running.signal('SIGTERM')
  const limit = setTimeout(() => running.signal('SIGKILL'), graceMs)
  const code = await running.exited
  clearTimeout(limit)
  return { id: running.id, code }
}
