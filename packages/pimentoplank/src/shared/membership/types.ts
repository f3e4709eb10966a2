/** Members: the instances of the system, and the targets that it routes to. */
import type { InstanceRecord } from '../platform'

/** An instance of the system itself. */
export type Instance = InstanceRecord & { role: 'entry' | 'batch' | 'controller' }

/** A model engine or plain service that requests are routed to. */
export type Target = InstanceRecord & { role: 'engine' | 'service', service: string }

/** Why a target or instance was marked as leaving before the platform's list showed it. */
export type LeavingReason = 'list' | 'ownAnswer' | 'failedOrder' | 'peer'

/** Read access to the known members; records targets that this instance finds to be leaving. */
export interface MembershipView {
  /** Returns the instances that are not leaving, including this one. */
  instances: (role?: Instance['role']) => readonly Instance[]
  /** Returns the targets of a service that may receive new work. */
  targets: (service: string) => readonly Target[]
  /** Returns a target by id, including leaving ones; undefined when it is not in the list. */
  target: (id: string) => Target | undefined
  /** Excludes a target from new work until the platform's list shows it gone, or live again under a newer entry. */
  markLeaving: (id: string, reason: LeavingReason) => void
  /** Calls the listener after each change; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
}
