/** What a path offers to the fault matrix. */
import type { FaultBed } from '../deploy'
import type { Gate } from '../control'

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
  /** Asserts what must hold, from what the stand-ins counted. */
  check: () => Promise<void>
}

export type CreatePath = (bed: FaultBed) => PathRun
