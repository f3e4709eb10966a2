/** Starts single processes of a deployment and registers them with the platform stand-in. */
import { writeFile } from 'node:fs/promises'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import type { InstanceRecord } from 'pimentoplank/shared'
import { request } from 'undici'
import { createLink, type Link } from '../link'
import type { DeploymentPlan } from './plan'
import { startProcess, type RunningProcess } from './runningProcess'

export const DEPLOYMENT_PEER_KEY = 'development-peer-key'
export const PROGRAMS = ['controller', 'entry', 'batch'] as const
export type Program = typeof PROGRAMS[number]

/** A process of a deployment other than the platform stand-in. */
export interface DeploymentMember {
  id: string
  failureDomain: string
}

export interface TargetMember extends DeploymentMember {
  program: 'standin-engine' | 'standin-service'
  service: string
  /** Additional command line arguments. */
  args: readonly string[]
}

export interface LauncherOptions {
  plan: DeploymentPlan
  /** Folder for settings and logs. */
  folder: string
  /** Repository root; derived from the location of this file when absent. */
  root?: string
  /** Puts a link in front of each target and each peer address, and between each program and the platform. */
  links?: boolean
}

export interface Launcher {
  platformUrl: string
  processes: ReadonlyMap<string, RunningProcess>
  links: ReadonlyMap<string, Link>
  launchTarget: (member: TargetMember) => Promise<RunningProcess>
  launchProgram: (member: DeploymentMember, program: Program) => Promise<RunningProcess>
}

/** Finds the repository root from a bundle in `packages/standins/dist` or a source file in `packages/standins/src`. */
function findRoot (): string {
  const here = path.dirname(fileURLToPath(import.meta.url))
  return here.slice(0, here.lastIndexOf(`${path.sep}packages${path.sep}`))
}

/** Starts the platform stand-in and creates the launcher for all other processes. */
export async function createLauncher (options: LauncherOptions): Promise<Launcher> {
  const { plan, folder } = options
  const root = options.root ?? findRoot()
  const processes = new Map<string, RunningProcess>()
  const links = new Map<string, Link>()
  /** Registered peer addresses, by instance id. */
  const peerAddresses = new Map<string, string>()

  async function launch (id: string, bundle: string, args: readonly string[]): Promise<RunningProcess> {
    const file = path.join(root, 'packages', bundle)
    const started = await startProcess({ id, file, args, logFile: path.join(folder, `${id}.log`) })
    processes.set(id, started)
    return started
  }

  /** Returns the address of a new link to the given address, or the address itself when links are disabled. */
  async function createLinkTo (name: string, address: string): Promise<string> {
    if (options.links !== true) return address
    await links.get(name)?.close()
    const link = await createLink(address)
    links.set(name, link)
    return link.address
  }

  const platform = await launch('platform', 'standins/dist/standin-platform.js', ['--port', '0', ...plan.platformArgs])
  const platformUrl = `http://${platform.listening.address}`

  async function launchTarget (member: TargetMember): Promise<RunningProcess> {
    const { id, program, service, failureDomain, args } = member
    const started = await launch(id, `standins/dist/${program}.js`, [
      '--port', '0', '--platform', platformUrl, '--id', id, '--service', service,
      '--failure-domain', failureDomain, '--region', plan.region, ...args
    ])
    const address = await createLinkTo(id, started.listening.address)
    if (options.links === true) await updateTargetAddress(platformUrl, id, address)
    return started
  }

  async function launchProgram (member: DeploymentMember, program: Program): Promise<RunningProcess> {
    const { id, failureDomain } = member
    const file = path.join(folder, `${id}.json`)
    const platformAddress = await createLinkTo(`platform:${id}`, platform.listening.address)
    const settings = {
      instance: { id, failureDomain, region: plan.region },
      platform: { url: `http://${platformAddress}` },
      peers: { listen: { host: '127.0.0.1', port: 0 }, sharedKey: DEPLOYMENT_PEER_KEY, seeds: listSeeds(id) },
      ...(program === 'entry' ? { listen: { host: '127.0.0.1', port: 0 } } : {}),
      ...plan.settings[program]
    }
    await writeFile(file, JSON.stringify(settings, null, 2))
    const started = await launch(id, `pimentoplank/dist/pimentoplank-${program}.js`, ['--config', file])
    const { address, peerAddress } = started.listening
    peerAddresses.set(id, await createLinkTo(id, peerAddress!))
    await putInstanceRecord(platformUrl, {
      id, role: program, address, peerAddress: peerAddresses.get(id), failureDomain, region: plan.region, state: 'live'
    })
    return started
  }

  /** Lists the peers from which an instance can bootstrap while the platform is down. */
  function listSeeds (id: string): string[] {
    return [...peerAddresses].filter(([peer]) => peer !== id).map(([, address]) => address)
  }

  return { platformUrl, processes, links, launchTarget, launchProgram }
}

/** Replaces the registered address of a target. */
async function updateTargetAddress (platformUrl: string, id: string, address: string): Promise<void> {
  const res = await request(`${platformUrl}/v1/instances`)
  const { instances } = await res.body.json() as { instances: InstanceRecord[] }
  await putInstanceRecord(platformUrl, { ...instances.find((record) => record.id === id)!, address })
}

async function putInstanceRecord (platformUrl: string, record: InstanceRecord): Promise<void> {
  const res = await request(`${platformUrl}/_control/instances/${record.id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(record)
  })
  await res.body.dump()
}
