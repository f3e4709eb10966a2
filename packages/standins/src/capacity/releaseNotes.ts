/** Builds and writes release notes for capacity probes. */
import { createHash } from 'node:crypto'
import { toNoteName, OBJECT_KINDS, releaseNote, type PlatformClient, type StoredNote } from 'pimentoplank/shared'
import { v7 as uuid } from 'uuid'
import { BATCH_KEY, KEY_PREFIX, MODEL, MODEL_VERSION, SERVICE } from '../bench/benchPlan'

export const SLOTS_PER_TARGET = 64
const LARGE_LIMIT = 100_000

/** Builds the first release note: one service, its models and the accounts. */
export function createFirstReleaseNote (size: { accounts: number, models: number }): object {
  const models = Array.from({ length: size.models }, (_, index) => ({
    kind: 'model',
    name: index === 0 ? MODEL : `model-${index}`,
    service: SERVICE,
    version: MODEL_VERSION,
    weightsMb: 100
  }))
  const callers = Array.from({ length: size.accounts }, (_, index) => createAccount(`load-${index}`, `${KEY_PREFIX}${index}`))
  return {
    base: 0,
    added: [
      { kind: 'service', name: SERVICE, type: 'engine', slotsPerTarget: SLOTS_PER_TARGET },
      ...models,
      createAccount('batch', BATCH_KEY),
      ...callers
    ]
  }
}

/** Builds a release note that changes one account. */
export function createAccountChange (base: number): object {
  const account = createAccount('load-0', `${KEY_PREFIX}0`)
  return { base, message: `Change ${base}`, changed: [{ ...account, weight: 1 + base }] }
}

/** Appends a release note to the release log, after its base; throws when the platform rejects it. */
export async function putReleaseNote (platform: PlatformClient, note: object): Promise<void> {
  const stored: StoredNote = { ...releaseNote.parse(note), id: uuid(), appliedAt: Date.now() }
  const written = await platform.put(OBJECT_KINDS.releaseNote, toNoteName(stored.base + 1), stored, { ifRevision: 0 })
  if (written.isErr()) throw written.error
}

function createAccount (name: string, key: string): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { kind: 'account', name, keyHash, maxInFlight: LARGE_LIMIT, requestsPerSecond: LARGE_LIMIT }
}
