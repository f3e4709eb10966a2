/** Asks homes for slots on targets, and holds the grants. */
import { ResultAsync } from 'neverthrow'
import { v4 as uuid } from 'uuid'
import type { Clock } from '../clock'
import type { Log } from '../logging'
import type { MembershipView } from '../membership'
import type { Metrics } from '../metrics'
import type { PeerTransports } from '../rpc'
import { acquireSlot } from './acquisition'
import { createHomeOrder } from './homeOrder'
import { createLoadTable } from './loadTable'
import { planRoute, type RoutingPlan } from './routing'
import { slotClientSettings, type SlotClientSettings } from './settings'
import { createTickets } from './tickets'
import type { LocalSlotHome, SlotClient } from './types'

export interface SlotClientOptions {
  instanceId: string
  /** Where this process stands. */
  failureDomain: string
  region: string
  membership: MembershipView
  transports: PeerTransports
  clock: Clock
  metrics: Metrics
  log: Log
  settings?: Partial<SlotClientSettings>
  /** The home in this process, reached without the network. */
  localHome?: LocalSlotHome
  /** A number from 0 up to 1. */
  random?: () => number
}

export type ResolvedSlotClientOptions =
  Omit<SlotClientOptions, 'settings' | 'random'> & { settings: SlotClientSettings, random: () => number }

/** Creates the slot client of a process. */
export function createSlotClient (options: SlotClientOptions): SlotClient {
  const resolved = resolveSlotClientOptions(options)
  const { membership, clock, metrics, settings } = resolved
  const order = createHomeOrder(membership)
  const loads = createLoadTable(clock)
  const tickets = createTickets({ ...resolved, order, loads, holderId: uuid() })

  return {
    acquire: (req, { signal } = {}) => {
      const plan = (): RoutingPlan => planRoute({ ...resolved, req, loads, targets: membership.targets(req.service) })
      const maxLoadRefusals = settings.maxTargetsAsked
      return new ResultAsync(acquireSlot({ req, signal, plan, tickets, clock, metrics, maxLoadRefusals }))
    },
    close: async () => {
      tickets.close()
      order.close()
    }
  }
}

function resolveSlotClientOptions (options: SlotClientOptions): ResolvedSlotClientOptions {
  return {
    ...options,
    settings: { ...slotClientSettings.parse({}), ...options.settings },
    random: options.random ?? Math.random
  }
}
