/** Starts a complete deployment on this machine: stand-ins and programs, each as its own process. */
import { mkdir, writeFile } from 'node:fs/promises'
import path from 'node:path'
import type { Link } from '../link'
import {
  createLauncher, DEPLOYMENT_PEER_KEY, PROGRAMS,
  type LauncherOptions, type Program, type TargetMember
} from './launcher'
import type { DeploymentPlan } from './plan'
import type { RunningProcess } from './runningProcess'

export type StartOptions = LauncherOptions

export interface ExitedProcess {
  id: string
  /** Exit code; null when a signal ended the process. */
  code: number | null
}

export interface Deployment {
  platformUrl: string
  /** Returns the addresses at which the entry instances accept callers. */
  entryAddresses: () => string[]
  processes: ReadonlyMap<string, RunningProcess>
  /** Links by the instance or target they lead to; `platform:<id>` leads from that instance to the platform. */
  links: ReadonlyMap<string, Link>
  /** Settings file for the operators' command line. */
  cliSettings: string
  /** Restarts an instance or target under the same id. */
  restart: (id: string) => Promise<RunningProcess>
  /** Stops every process by SIGTERM, programs before stand-ins; kills one that still runs `graceMs` later. */
  stop: (options?: { graceMs?: number }) => Promise<ExitedProcess[]>
}

type StartProcess = () => Promise<RunningProcess>

const DEFAULT_STOP_GRACE_MS = 10_000

/** Starts the deployment and waits until every process is listening. */
export async function startDeployment (options: StartOptions): Promise<Deployment> {
  const { plan, folder } = options
  await mkdir(folder, { recursive: true })
  const launcher = await createLauncher(options)
  const { platformUrl, processes, links } = launcher
  const targets: Array<[string, StartProcess]> = listTargets(plan)
    .map((member) => [member.id, async () => await launcher.launchTarget(member)])
  const programs: Array<[string, StartProcess]> = listPrograms(plan)
    .map(({ program, ...member }) => [member.id, async () => await launcher.launchProgram(member, program)])
  await Promise.all(targets.map(async ([, start]) => await start()))
  await Promise.all(programs.map(async ([, start]) => await start()))
  const startById = new Map([...targets, ...programs])

  const entryAddresses = (): string[] =>
    createIds('entry', plan.entries).map((id) => processes.get(id)!.listening.address)
  const cliSettings = path.join(folder, 'cli.json')
  const peers = { sharedKey: DEPLOYMENT_PEER_KEY }
  const settings = { platform: { url: platformUrl }, peers, entries: entryAddresses() }
  await writeFile(cliSettings, JSON.stringify(settings, null, 2))

  return {
    platformUrl,
    entryAddresses,
    processes,
    links,
    cliSettings,
    restart: async (id) => await startById.get(id)!(),
    stop: async ({ graceMs = DEFAULT_STOP_GRACE_MS } = {}) => {
      const ended = await stopProcesses(processes, graceMs)
      await Promise.all([...links.values()].map(async (link) => await link.close()))
      return ended
    }
  }
}

function listTargets (plan: DeploymentPlan): TargetMember[] {
  const groups = [
    ...plan.engines.map((group) => ({ ...group, program: 'standin-engine' as const })),
    ...plan.services.map((group) => ({ ...group, program: 'standin-service' as const }))
  ]
  return groups
    .flatMap(({ count, ...group }) => createIds(group.service, count).map((id) => ({ id, ...group })))
    .map((target, index) => ({ ...target, failureDomain: pickFailureDomain(plan, index) }))
}

function listPrograms (plan: DeploymentPlan): Array<{ id: string, program: Program, failureDomain: string }> {
  const counts: Record<Program, number> = { controller: plan.controllers, entry: plan.entries, batch: plan.batches }
  return PROGRAMS.flatMap((program) => createIds(program, counts[program])
    .map((id, index) => ({ id, program, failureDomain: pickFailureDomain(plan, index) })))
}

function createIds (name: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${name}-${index + 1}`)
}

function pickFailureDomain ({ failureDomains }: DeploymentPlan, index: number): string {
  return failureDomains[index % failureDomains.length]!
}

async function stopProcesses (
  processes: ReadonlyMap<string, RunningProcess>,
  graceMs: number
): Promise<ExitedProcess[]> {
  const all = [...processes.values()]
  const programs = all.filter((running) => isProgram(running.id))
  const standins = all.filter((running) => !isProgram(running.id))
  const stop = async (running: RunningProcess): Promise<ExitedProcess> => await stopProcess(running, graceMs)
  return [...await Promise.all(programs.map(stop)), ...await Promise.all(standins.map(stop))]
}

function isProgram (id: string): boolean {
  return PROGRAMS.some((program) => id.startsWith(`${program}-`))
}

async function stopProcess (running: RunningProcess, graceMs: number): Promise<ExitedProcess> {
  running.signal('SIGTERM')
  const killTimer = setTimeout(() => running.signal('SIGKILL'), graceMs)
  const code = await running.exited
  clearTimeout(killTimer)
  return { id: running.id, code }
}
