/** Switches faults of stand-ins at their times. */
import type { Clock } from 'pimentoplank/shared'
import { request } from 'undici'
import type { ScheduledFault } from './experiment'

export interface FaultScheduleOptions {
  clock: Clock
  faults: readonly ScheduledFault[]
  /** URLs by the names that the experiment uses. */
  targets: Readonly<Record<string, string>>
  /** Start of the experiment, on the clock. */
  startedAt: number
  signal: AbortSignal
}

/** Switches each fault at its time; ends early when the signal aborts. */
export async function runFaultSchedule (options: FaultScheduleOptions): Promise<void> {
  const { clock, faults, targets, startedAt, signal } = options
  const inOrder = faults.toSorted((a, b) => a.atMs - b.atMs)
  for (const fault of inOrder) {
    await clock.sleep(Math.max(0, startedAt + fault.atMs - clock.now()), signal)
    if (signal.aborted) return
    await switchFault(targets[fault.target] ?? fault.target, fault.faults)
  }
}

/** Sets fault switches of one stand-in. */
export async function switchFault (url: string, faults: object): Promise<void> {
  const res = await request(`${url}/_control/faults`, { method: 'PATCH', body: JSON.stringify(faults) })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`${url} refused the fault switches: ${res.statusCode}`)
}
