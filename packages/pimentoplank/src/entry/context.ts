/** What the caller API keeps for each request. */
import type { AccountEntry, Log } from '../shared'

/** Environment of the hono applications of an entry instance. */
export interface EntryEnv {
  Variables: {
    /** Account that the key of the request belongs to. */
    account: AccountEntry
    requestId: string
    /** Log with the request id and the account. */
    log: Log
  }
}
