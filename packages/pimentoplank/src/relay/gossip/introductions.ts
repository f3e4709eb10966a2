/** Addresses of instances that have not been heard yet. */
import type { Clock } from '../../shared'

export interface Introductions {
  add: (address: string) => void
  remove: (address: string) => void
  /** Addresses that are to be tried now. */
  due: () => string[]
  /** Forgets addresses from which nothing came for long. */
  prune: () => void
}

export interface IntroductionsOptions {
  /** This instance's own address, which is never added. */
  self: string
  /** Addresses that are never forgotten. */
  seeds: readonly string[]
  clock: Clock
}

interface Introduction {
  since: number
  sentAt: number
}

/** An address that never answered is tried this often, in milliseconds. */
const TRY_EVERY_MS = 500
/** An address from which nothing came for this long is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 30_000

/** Creates the list, with the seeds in it. */
export function createIntroductions ({ self, seeds, clock }: IntroductionsOptions): Introductions {
  const introductions = new Map<string, Introduction>()

  function add (address: string): void {
    if (address === self || introductions.has(address)) return
    introductions.set(address, { since: clock.now(), sentAt: -Infinity })
  }

  seeds.forEach(add)

  return {
    add,
    remove: (address) => { introductions.delete(address) },
    due: () => {
      const now = clock.now()
      const addresses: string[] = []
      for (const [address, introduction] of introductions) {
        if (now - introduction.sentAt < TRY_EVERY_MS) continue
        introduction.sentAt = now
        addresses.push(address)
      }
      return addresses
    },
    prune: () => {
      const since = clock.now() - FORGET_AFTER_MS
      for (const [address, introduction] of introductions) {
        if (introduction.since < since && !seeds.includes(address)) introductions.delete(address)
      }
    }
  }
}
