/** Figures of one stretch of time, each for one instance or for the whole platform. */
import { MIB_BYTES, SECOND_MS } from 'pimentoplank/shared'
import type { Stretch } from './cluster'

/** Figures by name; the name carries the unit. */
export type Figures = Record<string, number>

/** A measured size with its figures. */
export interface Point {
  size: number
  figures: Figures
}

const PERCENT = 100

/** Processor share, memory and bytes of the instances of one role, on average. */
export function roleFigures (stretch: Stretch, role: string): Figures {
  const ids = Object.keys(stretch.usage).filter((id) => id.startsWith(`${role}-`))
  const each = ids.map((id) => stretch.usage[id]!)
  const platformBytes = ids.map((id) => (stretch.bytes[`platform:${id}`] ?? 0) / stretch.seconds)
  return {
    'core share, %': mean(each.map(({ cpuMs }) => PERCENT * cpuMs / SECOND_MS / stretch.seconds)),
    'largest core share, %': Math.max(...each.map(({ cpuMs }) => PERCENT * cpuMs / SECOND_MS / stretch.seconds)),
    'memory, MiB': mean(each.map(({ residentBytes }) => residentBytes / MIB_BYTES)),
    'largest memory, MiB': Math.max(...each.map(({ residentBytes }) => residentBytes / MIB_BYTES)),
    'platform bytes/s': mean(platformBytes),
    'largest platform bytes/s': Math.max(...platformBytes)
  }
}

/** Bytes between instances a second: what one asks of others, and what the busiest one serves. */
export function peerFigures (stretch: Stretch): Figures {
  const served = Object.entries(stretch.bytes)
    .filter(([name]) => /^(entry|batch|controller)-/.test(name))
    .map(([, bytes]) => bytes / stretch.seconds)
  return { 'peer bytes/s asked': mean(served), 'largest peer bytes/s served': Math.max(...served) }
}

/** Calls at the platform a second, all and by kind and operation; a watch counts as one call. */
export function callFigures (stretch: Stretch): Figures {
  const counts = countCalls(stretch)
  const rates = Object.fromEntries(Object.entries(counts).map(([name, count]) => [`${name}, calls/s`, count / stretch.seconds]))
  const total = Object.values(counts).reduce((sum, count) => sum + count, 0)
  return { 'all, calls/s': total / stretch.seconds, ...rates }
}

/** Calls at the platform by kind and operation. */
export function countCalls ({ platform }: Stretch): Figures {
  return Object.fromEntries(Object.entries(platform.calls).flatMap(([kind, operations]) =>
    Object.entries(operations).map(([operation, count]) => [`${kind} ${operation}`, count])))
}

/** Processor time of the instances of one role together, in milliseconds. */
export function cpuOf (stretch: Stretch, role: string): number {
  return sum(Object.entries(stretch.usage).filter(([id]) => id.startsWith(`${role}-`)).map(([, usage]) => usage.cpuMs))
}

/** Bytes between instances together. */
export function peerBytes (stretch: Stretch): number {
  return sum(Object.entries(stretch.bytes).filter(([name]) => /^(entry|batch|controller)-/.test(name)).map(([, bytes]) => bytes))
}

export function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
