/** Immutable snapshot of the configuration. */
import type { AccountEntry, ConfigEntry, ModelEntry, ServiceEntry } from './entries'

export interface ConfigSnapshot {
  /** Number of release notes applied; a higher number is always newer. */
  readonly sequence: number
  readonly models: ReadonlyMap<string, ModelEntry>
  readonly services: ReadonlyMap<string, ServiceEntry>
  /** By account name. */
  readonly accounts: ReadonlyMap<string, AccountEntry>
  /** By key hash. */
  readonly accountsByKeyHash: ReadonlyMap<string, AccountEntry>
}

/** Read access to the configuration in force on this instance. */
export interface ConfigView {
  /** Returns the configuration in force. */
  current: () => ConfigSnapshot
  /** Calls the listener after each change; returns a function that unsubscribes. */
  onChange: (listener: (snapshot: ConfigSnapshot) => void) => () => void
}

/** Builds a snapshot from its entries. */
export function createSnapshot (sequence: number, entries: Iterable<ConfigEntry>): ConfigSnapshot {
  const models = new Map<string, ModelEntry>()
  const services = new Map<string, ServiceEntry>()
  const accounts = new Map<string, AccountEntry>()
  const accountsByKeyHash = new Map<string, AccountEntry>()
  for (const entry of entries) {
    if (entry.kind === 'model') models.set(entry.name, entry)
    if (entry.kind === 'service') services.set(entry.name, entry)
    if (entry.kind === 'account') {
      accounts.set(entry.name, entry)
      accountsByKeyHash.set(entry.keyHash, entry)
    }
  }
  return { sequence, models, services, accounts, accountsByKeyHash }
}

/** Creates a configuration view for tests, which set its value. */
export function createStaticConfig (initial: ConfigSnapshot): ConfigView & { set: (next: ConfigSnapshot) => void } {
  let snapshot = initial
  const listeners = new Set<(snapshot: ConfigSnapshot) => void>()
  return {
    current: () => snapshot,
    onChange: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    set: (next) => {
      snapshot = next
      for (const listener of listeners) listener(next)
    }
  }
}
