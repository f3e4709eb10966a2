/** Per-request context of the caller API. */
import type { AccountEntry, Log } from '../shared'

/** Environment of the Hono applications of an entry instance. */
export interface EntryEnv {
  Variables: {
    /** Client account that the key of the request belongs to. */
    account: AccountEntry
    requestId: string
    /** Logger that adds the request id and the account. */
    log: Log
  }
}
