/** Settings of admission and routing: the holder's side and the home's side. */
import { z } from 'zod'
import { SECOND_MS } from '../constants'

const durationMs = z.int().min(1)
const share = z.number().min(0).max(1)

export const ROUTING_WAYS = ['random', 'twoChoices', 'localShares', 'homes', 'homesAtOnce'] as const
export type RoutingWay = typeof ROUTING_WAYS[number]

export const LIMIT_WAYS = ['fixed', 'aimd', 'gradient'] as const
export type LimitWay = typeof LIMIT_WAYS[number]

/** Settings of a process that asks for slots. */
export const slotClientSettings = z.strictObject({
  routing: z.enum(ROUTING_WAYS).default('homes')
    .describe('How targets are chosen for a request.'),
  maxTargetsAsked: z.int().min(1).default(4)
    .describe('Targets whose refusal is taken before the request is refused.'),
  answerTimeoutMs: durationMs.default(250)
    .describe('A home that has not answered a request after this time is passed over, in milliseconds.'),
  heartbeatMs: durationMs.default(5 * SECOND_MS)
    .describe('Time between heartbeats to a home while work is open there and nothing else is sent, in milliseconds.'),
  silentAfterMs: durationMs.default(12 * SECOND_MS)
    .describe('A home with open work that sends nothing for this time is lost, in milliseconds.'),
  lostHomeMs: durationMs.default(5 * SECOND_MS)
    .describe('Time for which a lost home is passed over, in milliseconds.'),
  idleCloseMs: durationMs.default(30 * SECOND_MS)
    .describe('A stream without open work is closed after this time, in milliseconds.'),
  maxEjectedShare: share.default(0.5)
    .describe('Ejection is ignored while more than this share of a service\'s targets is ejected.'),
  affinityTargets: z.int().min(0).default(1)
    .describe('Targets that may serve one prompt prefix before load alone decides; 0 turns prefix affinity off.'),
  overloadedShare: z.number().positive().default(1)
    .describe('A target with more running and waiting work than this share of its limit gets no prefix affinity.')
})
export type SlotClientSettings = z.infer<typeof slotClientSettings>

/** Settings of the home of targets. */
export const slotHomeSettings = z.strictObject({
  ownership: z.enum(['homes', 'localShares']).default('homes')
    .describe('Whose targets it grants: those it is home of, or a share of every target to its own process alone.'),
  maxWaiting: z.int().min(1).default(64)
    .describe('Waiting live requests of one target; one more is refused.'),
  maxWaitingBatch: z.int().min(1).default(256)
    .describe('Waiting batch requests of one target; one more is refused.'),
  batchReserve: z.int().min(0).default(1)
    .describe('Slots of each target that batch work leaves free for live bursts.'),
  runShare: z.number().min(0).default(1)
    .describe('Part of the mean run time that must be left before the deadline when a queued request starts.'),
  waitMargin: z.number().min(1).default(2)
    .describe('Factor on the estimated wait of a new request when it is compared with the deadline.'),
  overtakenMargin: z.number().min(1).default(4)
    .describe('The same for an account that has had more than its share, which newcomers overtake.'),
  initialRunMs: durationMs.default(SECOND_MS)
    .describe('Mean run time that is assumed before one is measured, in milliseconds.'),
  sweepMs: durationMs.default(50)
    .describe('Time between checks of queued requests against their deadlines, in milliseconds.'),
  heartbeatMs: durationMs.default(5 * SECOND_MS)
    .describe('Time between heartbeats with load hints to a holder with open work, in milliseconds.'),
  silentAfterMs: durationMs.default(12 * SECOND_MS)
    .describe('A holder with open work that sends nothing for this time is cut off, in milliseconds.'),
  graceMs: durationMs.default(2 * SECOND_MS)
    .describe('Time in which a cut-off holder may report its grants again, in milliseconds.'),
  settleMs: durationMs.default(SECOND_MS)
    .describe('Time in which a new home collects the grants that holders report, in milliseconds.'),
  partialShare: share.default(0.5)
    .describe('Share of a limit that a home grants while it settles or stands in for another home.'),
  standInRanks: z.int().min(0).default(2)
    .describe('Instances after the first home that may stand in for it.'),
  limit: z.enum(LIMIT_WAYS).default('aimd')
    .describe('How the limit of a target follows its measured times.'),
  maxLimitFactor: z.number().min(1).default(1)
    .describe('Highest limit of a target, as a multiple of slotsPerTarget; above 1 where that is below the engine\'s own slots.'),
  limitWindow: z.int().min(1).default(20)
    .describe('Reports that one step of a limit is taken from.'),
  ejectAfter: z.int().min(1).default(3)
    .describe('Failures in a row that eject a target.'),
  ejectBaseMs: durationMs.default(500)
    .describe('Time until the first probe of an ejected target, in milliseconds; doubles with each failed probe.'),
  ejectMaxMs: durationMs.default(30 * SECOND_MS)
    .describe('Longest time between two probes of an ejected target, in milliseconds.')
})
export type SlotHomeSettings = z.infer<typeof slotHomeSettings>
