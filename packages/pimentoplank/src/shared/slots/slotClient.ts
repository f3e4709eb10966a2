/** Acquires slots on targets from their owners and tracks the grants. */
import { ResultAsync } from 'neverthrow'
import { v4 as uuid } from 'uuid'
import type { Clock } from '../clock'
import type { Log } from '../logging'
import type { MembershipView } from '../membership'
import type { Metrics } from '../metrics'
import type { PeerTransports } from '../rpc'
import { acquireSlot } from './acquisition'
import { createOwnerOrder } from './ownerOrder'
import { createLoadTable } from './loadTable'
import { planRoute, type RoutingPlan } from './routing'
import { slotClientSettings, type SlotClientSettings } from './settings'
import { createTicketRegistry } from './ticketRegistry'
import type { LocalSlotScheduler, SlotClient } from './types'

export interface SlotClientOptions {
  instanceId: string
  /** Location of this process, for locality-aware routing. */
  failureDomain: string
  region: string
  membership: MembershipView
  transports: PeerTransports
  clock: Clock
  metrics: Metrics
  log: Log
  settings?: Partial<SlotClientSettings>
  /** The slot scheduler of this process, called without the network. */
  localScheduler?: LocalSlotScheduler
  /** Returns a number from 0 to 1, 1 excluded. */
  random?: () => number
}

export type ResolvedSlotClientOptions =
  Omit<SlotClientOptions, 'settings' | 'random'> & { settings: SlotClientSettings, random: () => number }

export function createSlotClient (options: SlotClientOptions): SlotClient {
  const resolved = resolveSlotClientOptions(options)
  const { membership, clock, metrics, settings } = resolved
  const order = createOwnerOrder(membership)
  const loads = createLoadTable(clock)
  const tickets = createTicketRegistry({ ...resolved, order, loads, holderId: uuid() })

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
