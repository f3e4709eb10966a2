/** Counts the memory that one request uses in the budget of the instance. */
import { KIB_BYTES, type MemoryBudget } from '../../shared'

/** Cost of an open request besides its head, body and answer, in bytes. */
const REQUEST_OVERHEAD_BYTES = 16 * KIB_BYTES

export interface RequestMemory {
  /**
   * Sets the size of the part of the body that has been read, in bytes.
   *
   * @returns false if there is no room, or if the request has given way to others
   */
  resizeBody: (bytes: number) => boolean
  /**
   * Sets the size of the part of the answer that is kept until it is sent, in bytes.
   *
   * @returns false if there is no room, or if the request has given way to others
   */
  resizeAnswer: (bytes: number) => boolean
  /** Counts bytes that wait for the caller to read them, which are in use already. */
  chargeUnread: (bytes: number) => void
  /** Records that the caller has sent or read a noteworthy number of bytes. */
  recordProgress: () => void
  /** Lets the request give way to others while its caller is waited for; undefined when that is over. */
  setEvict: (evict: (() => void) | undefined) => void
  close: () => void
}

export interface RequestMemoryOptions {
  budget: MemoryBudget
  /** Id of the request. */
  id: string
  /** Size of its head. */
  headBytes: number
}

/** Opens the account of a request; undefined if the budget has no room for another request. */
export function openRequestMemory ({ budget, id, headBytes }: RequestMemoryOptions): RequestMemory | undefined {
  const account = budget.open({ kind: 'request', id })
  const fixedBytes = headBytes + REQUEST_OVERHEAD_BYTES
  let bodyBytes = 0
  let answerBytes = 0
  let unreadBytes = 0
  if (!account.resize(fixedBytes)) {
    account.close()
    return undefined
  }

  function resize (body: number, answer: number): boolean {
    if (!account.resize(fixedBytes + body + answer + unreadBytes)) return false
    bodyBytes = body
    answerBytes = answer
    return true
  }

  return {
    resizeBody: (bytes) => resize(bytes, answerBytes),
    resizeAnswer: (bytes) => resize(bodyBytes, bytes),
    chargeUnread: (bytes) => {
      unreadBytes = bytes
      account.charge(fixedBytes + bodyBytes + answerBytes + bytes)
    },
    recordProgress: account.recordProgress,
    setEvict: account.setEvict,
    close: account.close
  }
}
