/** Computes figures from a measurement, per instance or for the platform as a whole. */
import { MIB_BYTES, SECOND_MS } from 'pimentoplank/shared'
import type { Measurement } from './cluster'

/** Figures by name; the name carries the unit. */
export type Figures = Record<string, number>

/** The figures measured at one size. */
export interface Point {
  size: number
  figures: Figures
}

const PERCENT = 100

/** Computes CPU share, memory and platform traffic of the instances of one role: mean and maximum. */
export function computeRoleFigures (measurement: Measurement, role: string): Figures {
  const ids = Object.keys(measurement.usage).filter((id) => id.startsWith(`${role}-`))
  const each = ids.map((id) => measurement.usage[id]!)
  const platformBytes = ids.map((id) => (measurement.bytes[`platform:${id}`] ?? 0) / measurement.seconds)
  return {
    'core share, %': computeMean(each.map(({ cpuMs }) => PERCENT * cpuMs / SECOND_MS / measurement.seconds)),
    'largest core share, %': Math.max(...each.map(({ cpuMs }) => PERCENT * cpuMs / SECOND_MS / measurement.seconds)),
    'memory, MiB': computeMean(each.map(({ residentBytes }) => residentBytes / MIB_BYTES)),
    'largest memory, MiB': Math.max(...each.map(({ residentBytes }) => residentBytes / MIB_BYTES)),
    'platform bytes/s': computeMean(platformBytes),
    'largest platform bytes/s': Math.max(...platformBytes)
  }
}

/** Computes traffic between instances per second: the mean, and that of the instance that serves the most. */
export function computePeerFigures (measurement: Measurement): Figures {
  const served = Object.entries(measurement.bytes)
    .filter(([name]) => /^(entry|batch|controller)-/.test(name))
    .map(([, bytes]) => bytes / measurement.seconds)
  return { 'peer bytes/s asked': computeMean(served), 'largest peer bytes/s served': Math.max(...served) }
}

/** Computes platform calls per second, in total and by kind and operation; a watch counts as one call. */
export function computeCallFigures (measurement: Measurement): Figures {
  const counts = countCalls(measurement)
  const rates = Object.fromEntries(Object.entries(counts).map(([name, count]) => [`${name}, calls/s`, count / measurement.seconds]))
  const total = Object.values(counts).reduce((sum, count) => sum + count, 0)
  return { 'all, calls/s': total / measurement.seconds, ...rates }
}

/** Counts platform calls by kind and operation. */
export function countCalls ({ platform }: Measurement): Figures {
  return Object.fromEntries(Object.entries(platform.calls).flatMap(([kind, operations]) =>
    Object.entries(operations).map(([operation, count]) => [`${kind} ${operation}`, count])))
}

/** Sums the CPU time of the instances of one role, in milliseconds. */
export function sumCpuMs (measurement: Measurement, role: string): number {
  return sum(Object.entries(measurement.usage).filter(([id]) => id.startsWith(`${role}-`)).map(([, usage]) => usage.cpuMs))
}

/** Sums the bytes between instances. */
export function sumPeerBytes (measurement: Measurement): number {
  return sum(Object.entries(measurement.bytes).filter(([name]) => /^(entry|batch|controller)-/.test(name)).map(([, bytes]) => bytes))
}

export function computeMean (values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
