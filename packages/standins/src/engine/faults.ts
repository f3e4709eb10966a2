/** Fault switches of the engine stand-in. */
import { z } from 'zod'

export const engineFaults = z.strictObject({
  /** A prompt that contains this marker ends the engine as it begins to run; null takes the switch back. */
  crashOn: z.string().min(1).nullable(),
  /** A prompt that contains this marker gets 500 and does not run; null takes the switch back. */
  failOn: z.string().min(1).nullable(),
  /** Connections that are open now go silent for good; with `all`, new ones too while it is set. */
  silentStreams: z.union([z.boolean(), z.literal('all')]),
  /** The engine does nothing at all for this long, in milliseconds. */
  freezeMs: z.number().min(0),
  /** Breaks each stream's connection after this many tokens; 0 takes the switch back. */
  cutAfterTokens: z.int().min(0),
  /** Streams make no token after this many of their own; null lets them go on. */
  holdAfterTokens: z.int().min(0).nullable(),
  /** New requests get 429. */
  busy: z.boolean(),
  /** New requests get 503 `leaving`. */
  leaving: z.boolean(),
  /** Age of the load report, in milliseconds. */
  loadLagMs: z.number().min(0),
  /** Orders get 503. */
  refuseOrders: z.boolean(),
  /** Time of one step with one running stream, in milliseconds. */
  tokenMs: z.number().positive(),
  /** Least time to the first token, in milliseconds. */
  firstTokenMs: z.number().min(0)
}).partial()
export type EngineFaults = z.infer<typeof engineFaults>
