/**
 * Settings of admission and routing, for the processes that acquire slots and for the instances that own them.
 * An owner is called a home in setting names and in the protocol.
 */
import * as z from 'zod'
import { SECOND_MS } from '../constants'

const durationMs = z.int().min(1)
const share = z.number().min(0).max(1)

export const ROUTING_WAYS = ['random', 'twoChoices', 'localShares', 'homes', 'homesAtOnce'] as const
export type RoutingWay = typeof ROUTING_WAYS[number]

export const LIMIT_WAYS = ['fixed', 'aimd', 'gradient'] as const
export type LimitWay = typeof LIMIT_WAYS[number]

/** Settings of a process that acquires slots. */
export const slotClientSettings = z.strictObject({
  routing: z.enum(ROUTING_WAYS).default('homes')
    .describe('Strategy that orders the targets tried for a request.'),
  maxTargetsAsked: z.int().min(1).default(4)
    .describe('Refusals for load after which the request itself is refused.'),
  answerTimeoutMs: durationMs.default(250)
    .describe('Time after which an owner that has not answered a request counts as unreachable, in milliseconds.'),
  heartbeatMs: durationMs.default(5 * SECOND_MS)
    .describe('Interval of heartbeats to an owner with open tickets when nothing else is sent, in milliseconds.'),
  silentAfterMs: durationMs.default(12 * SECOND_MS)
    .describe('Time without any frame after which an owner with open tickets counts as unreachable, in milliseconds.'),
  lostHomeMs: durationMs.default(5 * SECOND_MS)
    .describe('Time for which an unreachable owner is skipped, in milliseconds.'),
  idleCloseMs: durationMs.default(30 * SECOND_MS)
    .describe('Time after which a stream without open tickets is closed, in milliseconds.'),
  maxEjectedShare: share.default(0.5)
    .describe('Share of a service\'s targets above which ejection is ignored, so that never all are ejected.'),
  affinityTargets: z.int().min(0).default(1)
    .describe('Targets that may serve one prompt prefix before load alone decides; 0 disables prefix affinity.'),
  overloadedShare: z.number().positive().default(1)
    .describe('Running and waiting work, as a share of the limit, at which a target gets no more prefix affinity.')
})
export type SlotClientSettings = z.infer<typeof slotClientSettings>

/** Settings of an instance that owns and schedules the slots of targets. */
export const slotSchedulerSettings = z.strictObject({
  ownership: z.enum(['homes', 'localShares']).default('homes')
    .describe('Slots that an instance grants: those of the targets it owns, or a local share of every target.'),
  maxWaiting: z.int().min(1).default(64)
    .describe('Live requests that may wait for one target; further ones are refused.'),
  maxWaitingBatch: z.int().min(1).default(256)
    .describe('Batch requests that may wait for one target; further ones are refused.'),
  batchReserve: z.int().min(0).default(1)
    .describe('Slots of each target that batch work may not use, kept free for bursts of live requests.'),
  runShare: z.number().min(0).default(1)
    .describe('Part of the mean run time that must remain before the deadline when a queued request starts.'),
  waitMargin: z.number().min(1).default(2)
    .describe('Safety factor on the estimated wait of a new request when it is checked against its deadline.'),
  overtakenMargin: z.number().min(1).default(4)
    .describe('Safety factor for an account above its fair share, whose requests later arrivals may overtake.'),
  initialRunMs: durationMs.default(SECOND_MS)
    .describe('Mean run time assumed until one is measured, in milliseconds.'),
  sweepMs: durationMs.default(50)
    .describe('Interval of checks of queued requests against their deadlines, in milliseconds.'),
  heartbeatMs: durationMs.default(5 * SECOND_MS)
    .describe('Interval of heartbeats, which carry loads, to a holder with open tickets, in milliseconds.'),
  silentAfterMs: durationMs.default(12 * SECOND_MS)
    .describe('Time without any frame after which a holder with open tickets is disconnected, in milliseconds.'),
  graceMs: durationMs.default(2 * SECOND_MS)
    .describe('Time in which a disconnected holder may reconnect and report its grants, in milliseconds.'),
  settleMs: durationMs.default(SECOND_MS)
    .describe('Time for which a new owner collects reported grants before it grants the full limit, in milliseconds.'),
  partialShare: share.default(0.5)
    .describe('Share of the limit that an owner grants while it collects grants or stands in for another owner.'),
  standInRanks: z.int().min(0).default(2)
    .describe('Instances, next in the owner order, that may stand in for the first owner.'),
  limit: z.enum(LIMIT_WAYS).default('aimd')
    .describe('Algorithm that adapts the limit of a target to its measured latencies.'),
  maxLimitFactor: z.number().min(1).default(1)
    .describe('Highest limit of a target, as a multiple of slotsPerTarget; above 1 if the engine has more slots.'),
  limitWindow: z.int().min(1).default(20)
    .describe('Reports after which the limit is adjusted once.'),
  ejectAfter: z.int().min(1).default(3)
    .describe('Consecutive failures after which a target is ejected.'),
  ejectBaseMs: durationMs.default(500)
    .describe('Time until the first probe of an ejected target, doubled after each failed probe, in milliseconds.'),
  ejectMaxMs: durationMs.default(30 * SECOND_MS)
    .describe('Upper bound of the time between two probes of an ejected target, in milliseconds.')
})
export type SlotSchedulerSettings = z.infer<typeof slotSchedulerSettings>
