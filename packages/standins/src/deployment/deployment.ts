/** Starts a whole deployment on this machine: stand-ins and programs, each as its own process. */
import { mkdir, writeFile } from 'node:fs/promises'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import type { DeploymentPlan } from './plan'
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
}

export interface Deployment {
  platformUrl: string
  /** Caller addresses of the entry instances. */
  entryAddresses: () => string[]
  processes: ReadonlyMap<string, RunningProcess>
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

  function domainOf (index: number): string {
    return plan.failureDomains[index % plan.failureDomains.length]!
  }

  async function launchTarget (member: Member, program: string, args: readonly string[]): Promise<RunningProcess> {
    return await launch(member.id, bundle('standins', program), [
      '--port', '0', '--platform', platformUrl, '--id', member.id, '--service', member.service!,
      '--failure-domain', member.failureDomain, '--region', plan.region, ...args
    ])
  }

  async function launchProgram (member: Member, program: Program): Promise<RunningProcess> {
    const file = path.join(folder, `${member.id}.json`)
    const settings = programSettings({ member, program, plan, platformUrl, folder })
    await writeFile(file, JSON.stringify(settings, null, 2))
    const started = await launch(member.id, bundle('pimentoplank', `pimentoplank-${program}`), ['--config', file])
    await registerInstance(platformUrl, plan, member, started)
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
    cliSettings,
    restart: async (id) => {
      await starters.get(id)!()
      return processes.get(id)!
    },
    stop: async ({ graceMs = DEFAULT_STOP_GRACE_MS } = {}) => await stopAll(processes, graceMs)
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
  folder: string
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

async function registerInstance (
  platformUrl: string,
  plan: DeploymentPlan,
  member: Member,
  started: RunningProcess
): Promise<void> {
  const res = await request(`${platformUrl}/_control/instances/${member.id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      id: member.id,
      role: member.role,
      address: started.listening.address,
      peerAddress: started.listening.peerAddress,
      failureDomain: member.failureDomain,
      region: plan.region,
      state: 'live'
    })
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
