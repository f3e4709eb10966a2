/** An instance stands still while streams that have not begun move to targets of another software version. */
import { createSocket } from 'node:dgram'
import { setTimeout as pause } from 'node:timers/promises'
import { PATHS, PORTS, send } from 'pimentoplank-platform/testing'
import { HTTP_OK, readEvents } from './liveRequests'
import { waitUntilReady } from './runSeed'
import { startSoakFleet, type SoakFleet, type SoakInstance } from './soakFleet'

export interface StandstillOutcome {
  /** Number of streams that ran at both versions before their callers left. */
  moved: number
  takenUp: number
  /** Streams that hold events of both versions. */
  mixed: string[]
}

const TARGETS_OF_VERSION = 10
const OTHER_VERSION = 'v2'
const STREAMS = 16
const STREAM_GAP_MS = 15
/** Number of events after which callers leave. */
const HELD_EVENTS = 3
/** How long targets of the first version hold their answers back, in milliseconds. */
const HOLD_MS = 3500
const DEADLINE_MS = 8000
/** Time for peers to hear where streams were placed, in milliseconds. */
const HEARD_MS = 100
/** Longer than instances repeat where a stream was placed, in milliseconds. */
const FORGOTTEN_MS = 1500
/** Time from the end of the standstill until streams are taken up, in milliseconds. */
const TAKE_UP_MS = 300
/** Datagrams that fill the buffer of a socket, as reports do in a busy deployment. */
const DATAGRAMS = 800
const DATAGRAM_BYTES = 200

/** Plays the standstill once. */
export async function playStandstill (options: { folder: string, run: number }): Promise<StandstillOutcome> {
  const fleet = await startSoakFleet({ instances: 5, targets: TARGETS_OF_VERSION, ...options })
  try {
    const held = fleet.targets.map(({ standin }) => standin)
    for (let count = 0; count < TARGETS_OF_VERSION; count++) await fleet.addTarget(OTHER_VERSION)
    await waitUntilReady(fleet)
    await pause(FORGOTTEN_MS)
    const [frozen, ...others] = fleet.instances as [SoakInstance, ...SoakInstance[]]
    const hold = { events: 0, ms: HOLD_MS, remaining: Infinity }
    for (const { faults } of held) faults.pause = hold
    const firsts: Array<Promise<number>> = []
    for (let index = 0; index < STREAMS; index++) {
      firsts.push(begin(others[index % others.length]!, `s${index}`))
      await pause(STREAM_GAP_MS)
    }
    await pause(HEARD_MS)
    frozen.child.kill('SIGSTOP')
    await fillBuffer(frozen)
    const reached = await Promise.all(firsts)
    hold.remaining = 0
    await pause(FORGOTTEN_MS)
    frozen.child.kill('SIGCONT')
    await pause(TAKE_UP_MS)
    const begun = [...reached.entries()].filter(([, events]) => events > 0).map(([index, from]) => ({ id: `s${index}`, from }))
    await Promise.all(begun.map(async ({ id, from }) => await takeUp(frozen, id, from)))
    const ids = begun.map(({ id }) => id)
    return {
      moved: ids.filter((id) => new Set(listVersions(fleet, `${id}a0`, 0)).size > 1).length,
      takenUp: begun.length,
      mixed: ids.filter((id) => {
        const [version] = listVersions(fleet, `${id}a1`, 1)
        return version !== undefined && version !== listVersions(fleet, `${id}a0`, 1).at(-1)
      })
    }
  } finally {
    await fleet.close()
  }
}

/** Begins a stream; returns the id of the last event that its caller held as it left. */
async function begin (instance: SoakInstance, id: string): Promise<number> {
  const answer = await send(instance, `${PATHS.resumable}${id}`, {
    id: `${id}a0`, deadlineMs: DEADLINE_MS, shouldLeave: (body) => readEvents(body).length >= HELD_EVENTS
  }).catch(() => undefined)
  return answer?.status === HTTP_OK ? readEvents(answer.body).at(-1)?.id ?? 0 : 0
}

async function takeUp (instance: SoakInstance, id: string, from: number): Promise<void> {
  const headers = { 'Last-Event-Id': String(from), Resumes: `${id}a0` }
  await send(instance, `${PATHS.resumable}${id}`, { id: `${id}a1`, deadlineMs: DEADLINE_MS, headers }).catch(() => undefined)
}

async function fillBuffer ({ ip }: SoakInstance): Promise<void> {
  const socket = createSocket('udp4')
  const bytes = Buffer.alloc(DATAGRAM_BYTES, 0xff)
  await Promise.all(Array.from({ length: DATAGRAMS }, async () => await new Promise<void>((resolve) => {
    socket.send(bytes, PORTS.peers, ip, () => resolve())
  })))
  socket.close()
}

/** Lists the versions at which a request ran and sent so many events, in the order of its runs. */
function listVersions ({ targets }: SoakFleet, id: string, minEvents: number): string[] {
  const runs = targets.flatMap(({ standin }) => standin.runs).filter((run) => run.id === id && run.sent >= minEvents)
  return runs.sort((a, b) => a.at - b.at).map(({ version }) => version)
}
