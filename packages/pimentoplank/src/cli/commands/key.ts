import { createHash, randomBytes } from 'node:crypto'
import { command } from 'cmd-ts'
import { ok } from 'neverthrow'
import { jsonFlag } from '../options'
import { runCommand } from '../runCommand'

const KEY_BYTES = 32

/** `key`: generates an account key and its hash for the release note. */
export const key = command({
  name: 'key',
  description: 'Generate an account key. Give the key to the caller and put the hash into a release note.',
  args: { json: jsonFlag },
  handler: async ({ json }) => await runCommand(async () => {
    const key = randomBytes(KEY_BYTES).toString('base64url')
    const keyHash = createHash('sha256').update(key).digest('hex')
    return ok({ text: `key      ${key}\nkeyHash  ${keyHash}`, data: { key, keyHash } })
  }, json)
})
