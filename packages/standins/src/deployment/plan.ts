/** Plan of a small deployment on one machine. */
import { readFile } from 'node:fs/promises'
import * as z from 'zod'

const overrides = z.record(z.string(), z.unknown()).default({})

export const deploymentPlan = z.strictObject({
  region: z.string(),
  failureDomains: z.array(z.string()).min(1),
  entries: z.int().min(1),
  batches: z.int().min(0).default(1),
  controllers: z.int().min(0).default(1),
  engines: z.array(z.strictObject({
    service: z.string(),
    count: z.int().min(1),
    /** Additional arguments for `standin-engine`. */
    args: z.array(z.string()).default([])
  })),
  services: z.array(z.strictObject({
    service: z.string(),
    count: z.int().min(1),
    args: z.array(z.string()).default([])
  })).default([]),
  /** Additional arguments for `standin-platform`. */
  platformArgs: z.array(z.string()).default([]),
  /** Settings that override the defaults, by program. */
  settings: z.strictObject({ entry: overrides, batch: overrides, controller: overrides }).prefault({}),
  /** File of the release note to apply, relative to the plan. */
  releaseNote: z.string().optional()
})
export type DeploymentPlan = z.infer<typeof deploymentPlan>

/** Reads and validates a deployment plan; throws when it is invalid, since only development scripts read plans. */
export async function readPlan (file: string): Promise<DeploymentPlan> {
  return deploymentPlan.parse(JSON.parse(await readFile(file, 'utf8')))
}
