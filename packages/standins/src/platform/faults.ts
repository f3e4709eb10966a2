/** Faults that the platform stand-in can inject. */
import * as z from 'zod'

export const platformFaults = z.strictObject({
  /** Every call is rejected with 503. */
  down: z.boolean(),
  /** Delay before each call is processed, in milliseconds. */
  slowMs: z.number().min(0),
  /** Number of upcoming writes that take effect, but whose connection is dropped before the response. */
  loseAnswers: z.int().min(0),
  /** Freezes the instance list at its current content. */
  staleInstances: z.boolean(),
  /** Serves reads, lists and watches from a snapshot taken when the fault is switched on. */
  staleReads: z.boolean(),
  /** Delay until a change appears in the instance list, in milliseconds. */
  listLagMs: z.number().min(0)
}).partial()
export type PlatformFaults = z.infer<typeof platformFaults>

/** Creates the faults with all of them switched off. */
export function createPlatformFaults (listLagMs: number): Required<PlatformFaults> {
  return { down: false, slowMs: 0, loseAnswers: 0, staleInstances: false, staleReads: false, listLagMs }
}
