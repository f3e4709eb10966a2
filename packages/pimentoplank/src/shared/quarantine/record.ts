/** What the platform keeps about content that was running as targets died. */
import { z } from 'zod'

export const deathRecord = z.object({
  target: z.string(),
  /** True when no other content that was there at an earlier crash ran on the target. */
  alone: z.boolean()
})
export type DeathRecord = z.infer<typeof deathRecord>

export const quarantineRecord = z.object({
  deaths: z.array(deathRecord),
  /** Wall clock time in milliseconds since the epoch. */
  expiresAt: z.number()
})
export type QuarantineRecord = z.infer<typeof quarantineRecord>

/** Targets that must have died with content, when it was alone among the suspects at one of the later deaths. */
const DEATHS_ALONE = 2
/** Targets that must have died with content, when other suspects were there each time. */
const DEATHS_TOGETHER = 3

/** True when the deaths are enough to keep the content away from targets. */
export function isCondemned ({ deaths }: QuarantineRecord): boolean {
  if (deaths.length >= DEATHS_TOGETHER) return true
  return deaths.length >= DEATHS_ALONE && deaths.slice(1).some((death) => death.alone)
}

/** Adds the deaths of one record to another; each target counts once. */
export function mergeRecords (a: QuarantineRecord, b: QuarantineRecord): QuarantineRecord {
  const deaths = [...a.deaths]
  for (const death of b.deaths) {
    if (!deaths.some((known) => known.target === death.target)) deaths.push(death)
  }
  return { deaths, expiresAt: Math.max(a.expiresAt, b.expiresAt) }
}
