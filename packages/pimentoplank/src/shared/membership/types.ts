/** Who is there: instances of the system, and the targets behind it. */
import type { InstanceRecord } from '../platform'

/** An instance of the system itself. */
export type Instance = InstanceRecord & { role: 'entry' | 'batch' | 'controller' }

/** A model engine or plain service that requests are routed to. */
export type Target = InstanceRecord & { role: 'engine' | 'service', service: string }

/** Why a target or instance was taken out ahead of the platform's list. */
export type LeavingSign = 'list' | 'ownAnswer' | 'failedOrder' | 'peer'

/** Read access to the members that this instance knows, and the signs that it has seen itself. */
export interface MembershipView {
  /** Instances that are not leaving, this one included. */
  instances: (role?: Instance['role']) => readonly Instance[]
  /** Targets of a service that may get new work. */
  targets: (service: string) => readonly Target[]
  /** A target by id, leaving ones included; undefined when it is gone. */
  target: (id: string) => Target | undefined
  /** Takes a target out at once, until the platform's list shows it gone or live again under a newer entry. */
  noteLeaving: (id: string, sign: LeavingSign) => void
  /** Calls the listener after each change; returns the way to stop. */
  onChange: (listener: () => void) => () => void
}
