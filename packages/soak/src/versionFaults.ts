/** Faults of sound targets: pauses, and several software versions side by side. */
import type { BreakOff, Pause } from 'pimentoplank-platform/testing'
import type { Fault } from './plan'
import type { SoakFleet, SoakTarget } from './soakFleet'

/** Numbers of events after which responses pause, in turn; 0 is before the head. */
const PAUSE_EVENTS = [0, 1, 4, 9]
const MIN_PAUSE_MS = 900
const PAUSE_RANGE_MS = 500
/** Number of responses that pause, or whose runs are reset, at each target. */
const AFFECTED_RESPONSES = 25
/** Share of the targets that pause. */
const PAUSED_SHARE = 0.5
const STEP_MS = 1200
const MIN_TARGETS = 3
/** Time for which one target after the other holds its first events back while versions change, in milliseconds. */
const MUTE_MS = 900
/** Number of its responses that do so. */
const MUTED_RESPONSES = 6
/** Time for which the old entry stays after every second restart, in milliseconds. */
const ENTRY_DELAY_MS = 1000

/** Records a fault of a target; returns a function that records its end. */
export function disturb ({ disturbed }: SoakTarget): () => void {
  const span = { from: Date.now(), to: Infinity }
  disturbed.push(span)
  return () => { span.to = Date.now() }
}

/** Lets half of the targets fall silent for about a second within their responses, while callers send more. */
export function injectPauses (fleet: SoakFleet, { pick }: Fault): () => void {
  const usable = fleet.getUsableTargets()
  const paused = usable.filter((_, index) => (index + pick) % usable.length < usable.length * PAUSED_SHARE)
  const pauses = paused.map(({ standin: { faults } }, index): Pause => {
    const pause = {
      events: PAUSE_EVENTS[(pick + index) % PAUSE_EVENTS.length]!,
      ms: MIN_PAUSE_MS + (pick + index * 127) % (PAUSE_RANGE_MS + 1),
      remaining: AFFECTED_RESPONSES
    }
    faults.pause = pause
    return pause
  })
  fleet.isBusy = true
  return () => {
    fleet.isBusy = false
    for (const pause of pauses) pause.remaining = 0
  }
}

/**
 * Turns targets of the most frequent version into those of another one, until both are as frequent: in turn by a new
 * target beside the old one, and under the same id and address, where the entry may follow later. Meanwhile, runs are
 * reset, and one target after the other holds its first events back, so that streams move before they begin.
 */
export function injectVersions (fleet: SoakFleet, { pick }: Fault): () => void {
  const other = `v${2 + pick}`
  let step = pick
  const mutes: Pause[] = []
  const breakOff: BreakOff = {
    events: 1 + pick % 8, by: 'reset', remaining: AFFECTED_RESPONSES * fleet.getUsableTargets().length
  }
  const ends = fleet.getUsableTargets().flatMap((target) => {
    if (target.standin.faults.breakOff !== undefined) return []
    target.standin.faults.breakOff = breakOff
    return [disturb(target)]
  })
  async function changeTarget (): Promise<void> {
    const usable = fleet.getUsableTargets()
    const olds = usable.filter(({ standin }) => standin.version !== other)
    const target = olds[step++ % Math.max(1, olds.length)]
    if (target === undefined || usable.length < MIN_TARGETS || olds.length <= usable.length / 2) return
    if (step % 2 === 0) return await fleet.restartTarget(target, other, step % 4 === 0 ? ENTRY_DELAY_MS : 0)
    await fleet.addTarget(other)
    fleet.removeTarget(target)
  }
  function muteTarget (): void {
    const usable = fleet.getUsableTargets()
    const target = usable[(pick + step) % Math.max(1, usable.length)]
    if (target === undefined || (target.standin.faults.pause?.remaining ?? 0) > 0) return
    const mute: Pause = { events: 0, ms: MUTE_MS, remaining: MUTED_RESPONSES }
    target.standin.faults.pause = mute
    mutes.push(mute)
  }
  const change = (): void => {
    changeTarget().catch(() => undefined)
    muteTarget()
  }
  change()
  const timer = setInterval(change, STEP_MS)
  return () => {
    clearInterval(timer)
    breakOff.remaining = 0
    for (const mute of mutes) mute.remaining = 0
    ends.forEach((end) => end())
  }
}
