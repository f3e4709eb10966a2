import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { Then } from '@cucumber/cucumber'
import { REFUSAL_REASONS, RETRY_REASONS } from '.'

const PAGE = new URL('../../../../../docs/reference/reasons.md', import.meta.url)

Then('the reference page lists each refusal reason with its status, and each retry reason', async function () {
  const page = await readFile(PAGE, 'utf8')
  const rows = [
    ...Object.entries(REFUSAL_REASONS).map(([reason, { status }]) => `| \`${reason}\` | ${status} |`),
    ...Object.keys(RETRY_REASONS).map((reason) => `| \`${reason}\` |`)
  ]
  assert.deepEqual(rows.filter((row) => !page.includes(row)), [])
})
