/** One or more controllers and their engine stand-ins in one process. */
import { createEngineStandin, createPlatformStandin, type EngineStandin, type PlatformStandin } from '@pimentoplank/standins'
import { createLink, type Link } from '../../../standins/src/link'
import {
  controllerSettings, createController, createEngineControl, type Controller, type EngineControl
} from '../../src/controller'
import {
  createFollowers, createInMemoryMetrics, createPeerTransports, createPlatformClient, createReleaseLog, createSilentLog,
  createSystemClock, releaseNote, type ConfigEntry, type EntryRef, type Followers, type PlatformClient
} from '../../src/shared'

const SERVICE = 'desk-lm'
const security = { sharedKey: 'a-key-for-tests-only' }

export interface BenchController {
  controller: Controller
  followers: Followers
  /** Link to the platform, which a test can cut. */
  platformLink: Link
  stop: () => Promise<void>
}

export interface FleetBench {
  platform: PlatformStandin
  client: PlatformClient
  engines: EngineStandin[]
  controllers: BenchController[]
  startController: (options?: { maxConcurrent?: number, engines?: EngineControl }) => Promise<BenchController>
  startFollowers: (id: string) => Promise<{ followers: Followers, platformLink: Link, stop: () => Promise<void> }>
  /** Applies a release note based on the latest configuration; returns its sequence number. */
  apply: (changes: { added?: unknown[], changed?: unknown[], withdrawn?: EntryRef[] }) => Promise<number>
  close: () => Promise<void>
}

/** Creates the entry of a model of the bench's service. */
export function benchModel (name: string, version: string): Partial<ConfigEntry> {
  return { kind: 'model', name, version, service: SERVICE, weightsMb: 100 }
}

/** Starts the platform and the engines; tests start each controller. */
export async function startFleetBench (count: number, options: { checksFencing?: boolean } = {}): Promise<FleetBench> {
  const platform = createPlatformStandin({ weightsMbPerSecond: 1000 })
  const { address, url } = await platform.start()
  const client = createPlatformClient({ url })
  const engines = Array.from({ length: count }, (_, index) => createEngineStandin({
    id: `engine-${index}`, service: SERVICE, platform: url, checksFencing: options.checksFencing, loadLagMs: 0
  }))
  for (const engine of engines) await engine.start()
  const controllers: BenchController[] = []
  const stops: Array<() => Promise<void>> = []
  const clock = createSystemClock()
  const log = createReleaseLog({ platform: client, clock, metrics: createInMemoryMetrics(), log: createSilentLog() })

  async function startFollowers (id: string): ReturnType<FleetBench['startFollowers']> {
    const platformLink = await createLink(address)
    const own = createPlatformClient({ url: `http://${platformLink.address}`, timeoutMs: 300, instance: id })
    const transports = createPeerTransports({ security })
    const followers = createFollowers({
      platform: own,
      transports,
      instance: { id, failureDomain: 'a' },
      metrics: createInMemoryMetrics(),
      log: createSilentLog(),
      timings: { watchWaitMs: 500, maxPauseMs: 100 },
      membershipTimings: { readEveryMs: 100 }
    })
    let isStopped = false
    async function stop (): Promise<void> {
      if (isStopped) return
      isStopped = true
      await followers.close()
      transports.close()
      await own.close()
      await platformLink.close()
    }
    stops.push(stop)
    return { followers, platformLink, stop }
  }

  async function startController (
    controllerOptions: { maxConcurrent?: number, engines?: EngineControl } = {}
  ): Promise<BenchController> {
    const id = `controller-${controllers.length}`
    const { followers, platformLink, stop: stopFollowers } = await startFollowers(id)
    const own = createPlatformClient({ url: `http://${platformLink.address}`, timeoutMs: 300, instance: id })
    const settings = controllerSettings.parse({
      instance: { id, failureDomain: 'a', region: 'r' },
      platform: { url },
      peers: { sharedKey: security.sharedKey },
      lease: { lengthMs: 600, renewEveryMs: 100 },
      loads: { maxConcurrent: controllerOptions.maxConcurrent ?? 4 },
      drain: { spreadMs: 150, maxMs: 60_000 },
      snapshots: { everyNotes: 10, keepNotes: 5 },
      checkEveryMs: 20,
      settled: { everyMs: 50, perEngineMs: 0 },
      placementEveryMs: 20
    })
    const control = controllerOptions.engines ?? createEngineControl()
    const controller = createController(settings, {
      platform: own,
      followers,
      engines: control,
      clock,
      random: Math.random,
      metrics: createInMemoryMetrics(),
      log: createSilentLog()
    })
    const stopping = new AbortController()
    const running = controller.run(stopping.signal)
    async function stop (): Promise<void> {
      stopping.abort()
      await running
      await control.close()
      await own.close()
      await stopFollowers()
    }
    const started = { controller, followers, platformLink, stop }
    controllers.push(started)
    return started
  }

  async function apply (changes: Parameters<FleetBench['apply']>[0]): Promise<number> {
    const { current } = (await log.read())._unsafeUnwrap()
    return (await log.apply(releaseNote.parse({ base: current.sequence, ...changes })))._unsafeUnwrap()
  }

  await apply({ added: [{ kind: 'service', name: SERVICE, type: 'engine' }] })
  return {
    platform,
    client,
    engines,
    controllers,
    startController,
    startFollowers,
    apply,
    close: async () => {
      await Promise.all(controllers.map(async (started) => await started.stop()))
      await Promise.all(stops.map(async (stop) => await stop()))
      await Promise.all(engines.map(async (engine) => await engine.close()))
      await client.close()
      await platform.close()
    }
  }
}
