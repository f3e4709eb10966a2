/** What a path offers to the fault matrix. */
import type { Gate } from '../control'
import type { FaultBed } from '../deploy'

/** The point that a path was held at, and who stands there. */
export interface Moment {
  /** Program instance that carries the work at this step. */
  carrier?: string
  /** Target that the work runs on. */
  target?: string
  /** Holds a platform call of the carrier. */
  gate?: Gate
  /** Lets the path go on, where it is held by other means than the gate. */
  resume?: () => Promise<void>
}

/** One run of a path in a deployment. */
export interface PathRun {
  /** Starts the work and resolves when it is held at the step. */
  reach: (step: string) => Promise<Moment>
  /** Waits for the end of the work, resending as a caller would. */
  finish: () => Promise<void>
  /**
   * Asserts what must hold, from what the stand-ins counted.
   *
   * @param strike - name of the fault that struck
   */
  check: (strike: string) => Promise<void>
}

export type CreatePath = (bed: FaultBed) => PathRun

/** Takes the driver of a step from a table; an unknown step is an error in the matrix. */
export async function reachFrom (
  steps: Readonly<Record<string, () => Promise<Moment>>>,
  step: string
): Promise<Moment> {
  const reach = steps[step]
  if (reach === undefined) throw new Error(`there is no step "${step}" among ${Object.keys(steps).join(', ')}`)
  return await reach()
}
