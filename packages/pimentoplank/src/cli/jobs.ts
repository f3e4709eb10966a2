/** `pimentoplank jobs` and `pimentoplank cancel`, through the callers' interface of any entry instance. */
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { describeCause, EXIT_USAGE, SECOND_MS } from '../shared'
import { fail, formatTable, print, printJson } from './output'
import type { CliSettings } from './settings'

const TIMEOUT_MS = 5 * SECOND_MS
const FIRST_ERROR_STATUS = 400

const jobView = z.looseObject({
  id: z.string(), account: z.string(), state: z.string(), items: z.number(), createdAt: z.string()
})
const jobList = z.object({ batches: z.array(jobView), next: z.string().optional() })

interface Call {
  method: 'GET' | 'POST'
  path: string
}

/** Sends a call to the first entry instance that answers. */
async function callEntry (settings: CliSettings, call: Call): Promise<Result<unknown, Error>> {
  let problem = new Error('the settings name no entries')
  for (const address of settings.entries) {
    try {
      const res = await request(`http://${address}${call.path}`, {
        method: call.method,
        headers: { authorization: `Bearer ${settings.operatorKey ?? ''}` },
        signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      const text = await res.body.text()
      if (res.statusCode >= FIRST_ERROR_STATUS) return err(new Error(`status ${res.statusCode}: ${text}`))
      return ok(JSON.parse(text))
    } catch (cause) {
      problem = new Error(`${address}: ${describeCause(cause)}`)
    }
  }
  return err(problem)
}

/** Prints batch jobs, newest page by page. */
export async function showJobs (settings: CliSettings, asJson: boolean): Promise<void> {
  if (settings.operatorKey === undefined) return fail('the settings need an operatorKey', EXIT_USAGE)
  const jobs: Array<z.infer<typeof jobView>> = []
  let after: string | undefined
  do {
    const query = after === undefined ? '' : `?after=${encodeURIComponent(after)}`
    const reply = await callEntry(settings, { method: 'GET', path: `/v1/batches${query}` })
    if (reply.isErr()) return fail(reply.error.message)
    const page = jobList.parse(reply.value)
    jobs.push(...page.batches)
    after = page.next
  } while (after !== undefined)
  if (asJson) return printJson(jobs)
  const rows = jobs.map(({ id, account, state, items, createdAt }) => [id, account, state, String(items), createdAt])
  print(...formatTable(['job', 'account', 'state', 'items', 'created'], rows))
}

/** Cancels a job. */
export async function cancelJob (settings: CliSettings, job: string): Promise<void> {
  if (settings.operatorKey === undefined) return fail('the settings need an operatorKey', EXIT_USAGE)
  const reply = await callEntry(settings, { method: 'POST', path: `/v1/batches/${encodeURIComponent(job)}/cancel` })
  if (reply.isErr()) return fail(reply.error.message)
  print(`${job}: ${jobView.parse(reply.value).state}`)
}
