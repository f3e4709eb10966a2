/** Fault switches of the platform stand-in. */
import { z } from 'zod'

export const platformFaults = z.strictObject({
  /** Every call gets 503. */
  down: z.boolean(),
  /** Each call waits this long before it is worked on, in milliseconds. */
  slowMs: z.number().min(0),
  /** The next writes take effect, but their connection breaks before the answer. */
  loseAnswers: z.int().min(0),
  /** The instance list stays as it is now. */
  staleInstances: z.boolean(),
  /** Reads, lists and watches are answered from the state as it is now. */
  staleReads: z.boolean(),
  /** Changes show in the instance list this much later, in milliseconds. */
  listLagMs: z.number().min(0)
}).partial()
export type PlatformFaults = z.infer<typeof platformFaults>

/** Creates the switches in their position without faults. */
export function createPlatformFaults (listLagMs: number): Required<PlatformFaults> {
  return { down: false, slowMs: 0, loseAnswers: 0, staleInstances: false, staleReads: false, listLagMs }
}
