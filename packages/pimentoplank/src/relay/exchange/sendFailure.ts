/** Why a request got no usable response from a target. */

/** Reason for which there is no usable response. */
export type SendFailureReason =
  /** No connection could be established, or it broke before the first byte was written. */
  | 'connectFailed'
  /** The target states that it did not run the request. */
  | 'refused'
  /** The address now belongs to another target. */
  | 'otherTarget'
  /** Another process than the one that the target's entry describes answers. */
  | 'otherProcess'
  /** Which process answers can't be found out. */
  | 'unknownProcess'
  /** The peer that was to open the connection could not be reached or refused; nothing is known of the target. */
  | 'peerUnreachable'
  /** The connection broke before the end of the response. */
  | 'broken'
  /** A process that lives ended the connection of an unframed answer before the answer's end. */
  | 'endedEarly'
  /** The connection of an unframed stream ended between two events; whether more follow can be asked for. */
  | 'openEnd'
  /** The connection of an unframed answer ended that can't be asked for again, so that nothing shows it to be whole. */
  | 'unproven'
  /** The target answered with a failure when it was asked for what follows. */
  | 'noRest'
  /** An unframed answer to a run that goes on ended before any event: there may be none left, or it broke off. */
  | 'emptyEnd'
  /** The peer through which the connection went was lost before the end of the response. */
  | 'peerLost'
  /** A pooled connection turned out to be reset when the request was written to it. */
  | 'staleConnection'
  /** The response belongs to another request. */
  | 'spoiled'
  /** It was not sent: once there was a connection, the sender's reason to send it had gone. */
  | 'withdrawn'
  /** The sender aborted it. */
  | 'aborted'

export class SendFailure extends Error {
  readonly reason: SendFailureReason
  /** True if the target may have run the request. */
  readonly mayHaveRun: boolean
  /** Status of the target's answer; undefined if it gave none. */
  readonly status?: number

  constructor (reason: SendFailureReason, mayHaveRun: boolean, detail: string, status?: number) {
    super(detail)
    this.name = 'SendFailure'
    this.reason = reason
    this.mayHaveRun = mayHaveRun
    this.status = status
  }
}
