/** Injects faults into stand-ins at scheduled times. */
import type { Clock } from 'pimentoplank/shared'
import { request } from 'undici'
import type { ScheduledFault } from './experiment'

export interface FaultScheduleOptions {
  clock: Clock
  faults: readonly ScheduledFault[]
  /** URLs by the target names that the experiment uses. */
  targets: Readonly<Record<string, string>>
  /** Start of the experiment, on the clock. */
  startedAt: number
  signal: AbortSignal
}

/** Injects each fault at its time; returns early when the signal aborts. */
export async function runFaultSchedule (options: FaultScheduleOptions): Promise<void> {
  const { clock, faults, targets, startedAt, signal } = options
  const inOrder = faults.toSorted((a, b) => a.atMs - b.atMs)
  for (const fault of inOrder) {
    await clock.sleep(Math.max(0, startedAt + fault.atMs - clock.now()), signal)
    if (signal.aborted) return
    await setFaults(targets[fault.target] ?? fault.target, fault.faults)
  }
}

/** Sets the faults of one stand-in; throws when it refuses them. */
export async function setFaults (url: string, faults: object): Promise<void> {
  const res = await request(`${url}/_control/faults`, { method: 'PATCH', body: JSON.stringify(faults) })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`${url} refused the faults: expected status 200, got ${res.statusCode}`)
}
