/** Membership view for tests, which set its list. */
import type { InstanceRecord } from '../platform'
import type { Instance, MembershipView, Target } from './types'

/** Creates a membership view of a given list. */
export function createStaticMembership (
  initial: readonly InstanceRecord[]
): MembershipView & { set: (records: readonly InstanceRecord[]) => void } {
  let records = initial
  const leaving = new Set<string>()
  const listeners = new Set<() => void>()

  function notify (): void {
    for (const listener of listeners) listener()
  }

  return {
    instances: (role) => records.filter((record): record is Instance =>
      record.service === undefined && record.state === 'live' && (role === undefined || record.role === role)),
    targets: (service) => records.filter((record): record is Target =>
      record.service === service && record.state === 'live' && !leaving.has(record.id)),
    target: (id) => records.find((record): record is Target => record.id === id && record.service !== undefined),
    markLeaving: (id) => {
      leaving.add(id)
      notify()
    },
    onChange: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    set: (next) => {
      records = next
      notify()
    }
  }
}
