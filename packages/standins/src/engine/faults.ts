/** Faults that the engine stand-in can inject. */
import * as z from 'zod'

export const engineFaults = z.strictObject({
  /** A prompt that contains this marker crashes the engine when it starts to run; null switches the fault off. */
  crashOn: z.string().min(1).nullable(),
  /** A prompt that contains this marker is rejected with 500 and does not run; null switches the fault off. */
  failOn: z.string().min(1).nullable(),
  /** Permanently stops sending on the connections open now; `all` also affects new ones while it is set. */
  silentStreams: z.union([z.boolean(), z.literal('all')]),
  /** Suspends all work of the engine for this long, in milliseconds. */
  freezeMs: z.number().min(0),
  /** Suspends all work of the engine for `ms` milliseconds whenever a run has generated `afterTokens` tokens. */
  silence: z.strictObject({ afterTokens: z.int().min(1), ms: z.number().min(0) }).nullable(),
  /** Closes the connection of each stream after this many tokens; 0 switches the fault off. */
  cutAfterTokens: z.int().min(0),
  /** How `cutAfterTokens` ends a connection inside the next event; null closes it between two events. */
  cutInEventBy: z.enum(['close', 'reset']).nullable(),
  /** How streams define the end of their bodies. */
  framing: z.enum(['chunks', 'connection']),
  /** Pauses each stream after it has generated this many tokens in its own run; null lets the streams continue. */
  holdAfterTokens: z.int().min(0).nullable(),
  /** New requests are rejected with 429. */
  busy: z.boolean(),
  /** New requests are rejected with 503 `leaving`. */
  leaving: z.boolean(),
  /** Age of the load report, in milliseconds. */
  loadLagMs: z.number().min(0),
  /** Orders are rejected with 503. */
  refuseOrders: z.boolean(),
  /** Duration of a step with one running stream, in milliseconds. */
  tokenMs: z.number().positive(),
  /** Minimum time to the first token, in milliseconds. */
  firstTokenMs: z.number().min(0)
}).partial()
export type EngineFaults = z.infer<typeof engineFaults>
