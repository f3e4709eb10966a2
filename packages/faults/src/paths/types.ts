/** Interface between the paths and the fault matrix. */
import type { Gate } from '../control'
import type { FaultTestbed } from '../deploy'

/** A step at which a path is held, and the processes involved. */
export interface HeldStep {
  /** Program instance that carries the work at this step. */
  carrier?: string
  /** Target that the work runs on. */
  target?: string
  /** Gate that holds a platform call of the carrier. */
  gate?: Gate
  /** Continues a path that is held by other means than the gate. */
  resume?: () => Promise<void>
}

/** One run of a path in a deployment. */
export interface PathRun {
  /** Starts the work and resolves when it is held at the step. */
  reach: (step: string) => Promise<HeldStep>
  /** Waits until the work has ended, resending requests as a caller would. */
  finish: () => Promise<void>
  /**
   * Asserts the guarantee of the path from the runs that the stand-ins recorded.
   *
   * @param fault - name of the injected fault
   */
  check: (fault: string) => Promise<void>
}

export type CreatePath = (testbed: FaultTestbed) => PathRun

/** Runs the driver of a step; throws when the matrix names an unknown step. */
export async function reachStep (
  steps: Readonly<Record<string, () => Promise<HeldStep>>>,
  step: string
): Promise<HeldStep> {
  const reach = steps[step]
  if (reach === undefined) throw new Error(`unknown step "${step}"; expected one of ${Object.keys(steps).join(', ')}`)
  return await reach()
}
