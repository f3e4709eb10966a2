/** Callers leave streams after their first event and take them up at once elsewhere, while two versions serve. */
import { createHash } from 'node:crypto'
import { readFile, rm } from 'node:fs/promises'
import { Agent } from 'node:http'
import path from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import type { Pause, ReplicaRun } from 'pimentoplank-platform/testing'
import { HTTP_OK, sendLiveRequest, type Attempt } from './liveRequests'
import { waitUntilReady } from './runSeed'
import { startSoakFleet, type SoakFleet, type SoakInstance } from './soakFleet'
import { listMixedStreams } from './streamChecks'

/** What becomes of the instance that began a stream as its caller leaves. */
export type OwnerFault = 'none' | 'kill' | 'freeze'

export interface TakeUpsOptions {
  /** Number of streams of each play. */
  streams: number
  seed: number
  fault: OwnerFault
  /** Folder for settings and logs. */
  folder: string
  /** Number that distinguishes the runs of one process. */
  run: number
  /** Programs of an older version, for the first instances. */
  programs?: readonly string[]
}

export interface TakeUpsOutcome {
  streams: number
  /** Streams that began, and that were taken up. */
  takenUp: number
  /** Streams that went on at the first try to take them up. */
  wentOn: number
  /** Streams that were taken up and moved from one version to the other before their first event. */
  moved: number
  /** Number of requests that took up a stream, by the source of its version and the outcome. */
  sources: Record<string, number>
  /** Streams that hold events of both versions, apart from `mixedByOlder`. */
  mixed: string[]
  /** Streams that hold events of both versions, began at an older instance and went on at another older one. */
  mixedByOlder: string[]
  /** Number of streams that went from older to present instances, and the other way round. */
  toPresent: number
  toOlder: number
}

const INSTANCES = 7
const TARGETS_OF_VERSION = 4
const OTHER_VERSION = 'v2'
const STREAM_GAP_MS = 45
/** Share of streams whose first run sends nothing for a while. */
const MUTE_SHARE = 0.4
const MUTE_MS = 3000
/** Every so many streams, the instance that began it is killed or frozen. */
const FAULT_INTERVAL = 10
const FREEZE_MS = 1500
/** Highest value of the hash from which mute runs are drawn, plus one. */
const HASH_RANGE = 2 ** 32

/** Plays the streams once. */
export async function playTakeUps (options: TakeUpsOptions): Promise<TakeUpsOutcome> {
  await rm(options.folder, { recursive: true, force: true })
  const fleet = await startSoakFleet({ instances: INSTANCES, targets: TARGETS_OF_VERSION, ...options })
  try {
    for (let count = 0; count < TARGETS_OF_VERSION; count++) await fleet.addTarget(OTHER_VERSION)
    await waitUntilReady(fleet)
    const isMuted = createMutes(options.seed)
    const mute: Pause = { events: 0, ms: MUTE_MS, isPaused: isMuted }
    for (const { standin } of fleet.targets) standin.faults.pause = mute
    const attempts = await sendStreams(fleet, options)
    return await describe(fleet, attempts, options)
  } finally {
    await fleet.close()
  }
}

/** Returns a function that draws which first runs of streams are mute. */
function createMutes (seed: number): (run: ReplicaRun) => boolean {
  const begun = new Set<string>()
  return ({ id, from }) => {
    if (from > 0 || begun.has(id)) return false
    begun.add(id)
    return createHash('sha256').update(`${seed} ${id}`).digest().readUInt32LE(0) / HASH_RANGE < MUTE_SHARE
  }
}

async function sendStreams (fleet: SoakFleet, { streams, seed, fault }: TakeUpsOptions): Promise<Attempt[]> {
  const { instances } = fleet
  const attempts: Attempt[] = []
  const agent = new Agent({ keepAlive: true })
  const sent: Array<Promise<void>> = []
  const pickFrom = (index: number): SoakInstance => {
    const serving = instances.filter(isServing)
    return serving[index % serving.length]!
  }
  for (let index = 0; index < streams; index++) {
    let next = index
    sent.push(sendLiveRequest({
      id: `p${seed}s${index}`,
      kind: 'resumable',
      leavesAfter: 1,
      onLeave: index % FAULT_INTERVAL === FAULT_INTERVAL - 1 ? (owner) => disturb(fleet, owner, fault) : undefined,
      createPrompt: () => ({}),
      pickInstance: () => pickFrom(index),
      pickOther: (last) => [pickFrom(++next), pickFrom(++next)].find((one) => one !== last),
      getAgent: () => agent
    }, (attempt) => attempts.push(attempt)))
    await pause(STREAM_GAP_MS)
  }
  await Promise.all(sent)
  agent.destroy()
  return attempts
}

function isServing ({ isHeld, child }: SoakInstance): boolean {
  return !isHeld && child.exitCode === null && child.signalCode === null
}

function disturb (fleet: SoakFleet, instance: SoakInstance, fault: OwnerFault): void {
  if (fault === 'none' || instance.isHeld) return
  instance.touchedAt.push(Date.now())
  if (fault === 'kill') {
    instance.child.kill('SIGKILL')
    return
  }
  instance.isHeld = true
  instance.child.kill('SIGSTOP')
  setTimeout(() => {
    instance.child.kill('SIGCONT')
    instance.isHeld = false
  }, FREEZE_MS)
}

async function describe (fleet: SoakFleet, attempts: Attempt[], options: TakeUpsOptions): Promise<TakeUpsOutcome> {
  const runs = fleet.targets.flatMap(({ standin }) => standin.runs)
  const firstTries = attempts.filter(({ from }, index) =>
    from > 0 && attempts.findIndex((one) => one.request === attempts[index]!.request && one.from > 0) === index)
  const begun = new Set(firstTries.map(({ request }) => `${request}a`))
  const versions = new Map<string, Set<string>>()
  for (const { id, from, version } of runs) {
    if (from === 0) versions.set(id, (versions.get(id) ?? new Set()).add(version))
  }
  const isOlder = ({ instance }: Attempt): boolean => options.programs?.includes(instance.program) === true
  const findFirst = (request: string): Attempt => attempts.find((one) => one.request === request && one.from === 0)!
  // A stream goes wrong where it is taken up, or where it began.
  const mixed = listMixedStreams({ targets: fleet.targets, attempts })
  const isOfOlder = (id: string): boolean => {
    const [first, ...others] = attempts.filter(({ request }) => id === `${request}a0`)
    return isOlder(first!) && others.some((one) => isOlder(one) && one.answer?.status === HTTP_OK)
  }
  return {
    streams: options.streams,
    takenUp: firstTries.length,
    wentOn: firstTries.filter(({ answer }) => answer?.status === HTTP_OK).length,
    moved: [...versions].filter(([id, { size }]) => size > 1 && begun.has(id.replace(/\d+$/, ''))).length,
    sources: await countSources(fleet, options.folder),
    mixed: mixed.filter((id) => !isOfOlder(id)),
    mixedByOlder: mixed.filter(isOfOlder),
    toPresent: firstTries.filter((one) => isOlder(findFirst(one.request)) && !isOlder(one)).length,
    toOlder: firstTries.filter((one) => !isOlder(findFirst(one.request)) && isOlder(one)).length
  }
}

/** Counts what the instances logged of streams that were taken up. */
async function countSources ({ instances }: SoakFleet, folder: string): Promise<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const { id } of instances) {
    const text = await readFile(path.join(folder, `${id}.log`), 'utf8')
    for (const line of text.split('\n')) {
      if (!line.includes('"version of a begun stream"')) continue
      const { source, outcome } = JSON.parse(line) as { source: string, outcome: string }
      const key = `${source} ${outcome}`
      counts[key] = (counts[key] ?? 0) + 1
    }
  }
  return counts
}
