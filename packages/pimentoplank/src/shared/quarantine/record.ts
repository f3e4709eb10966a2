/** Stored record of content that was running when targets crashed. */
import * as z from 'zod'

export const crashRecord = z.object({
  target: z.string(),
  /** True when no other suspect content ran on the target. */
  alone: z.boolean()
})
export type CrashRecord = z.infer<typeof crashRecord>

export const quarantineRecord = z.object({
  deaths: z.array(crashRecord),
  /** Wall clock time in milliseconds since the Unix epoch. */
  expiresAt: z.number()
})
export type QuarantineRecord = z.infer<typeof quarantineRecord>

/** Crashed targets that suffice when the content was the only suspect in a crash after the first. */
const MIN_CRASHES_ALONE = 2
/** Crashed targets that suffice when other suspects ran on them as well. */
const MIN_CRASHES = 3

/** Checks whether the recorded crashes suffice to quarantine the content. */
export function shouldQuarantine ({ deaths }: QuarantineRecord): boolean {
  if (deaths.length >= MIN_CRASHES) return true
  return deaths.length >= MIN_CRASHES_ALONE && deaths.slice(1).some((crash) => crash.alone)
}

/** Merges the crashes of two records; each target counts once. */
export function mergeRecords (a: QuarantineRecord, b: QuarantineRecord): QuarantineRecord {
  const deaths = [...a.deaths]
  for (const crash of b.deaths) {
    if (!deaths.some((known) => known.target === crash.target)) deaths.push(crash)
  }
  return { deaths, expiresAt: Math.max(a.expiresAt, b.expiresAt) }
}
