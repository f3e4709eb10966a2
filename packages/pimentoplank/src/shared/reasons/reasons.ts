/** Reasons to refuse a request and reasons to retry one. Metrics and the documentation use the same names. */

/** Response of a refusal. */
export interface RefusalTraits {
  /** HTTP status of the response. */
  status: number
  /** Title of the problem details. */
  title: string
  /** True when the same request may succeed later; the response then includes `Retry-After`. */
  retryable: boolean
}

export const REFUSAL_REASONS = {
  accountLimit: { status: 429, title: 'The account has too many requests in flight', retryable: true },
  accountRate: { status: 429, title: 'The account sends requests too fast', retryable: true },
  addressMoved: { status: 503, title: 'This instance is leaving; ask for other addresses', retryable: true },
  badRequest: { status: 400, title: 'The request is not valid', retryable: false },
  batchConflict: { status: 409, title: 'The job key belongs to a job with other content', retryable: false },
  bodyTimeout: { status: 408, title: 'The request body was not complete in time', retryable: true },
  bodyTooLarge: { status: 413, title: 'The request body is too large', retryable: false },
  configurationConflict: { status: 409, title: 'The release note is based on an older configuration', retryable: false },
  deadlineUnreachable: { status: 503, title: 'The request cannot be answered before its deadline', retryable: true },
  forbidden: { status: 403, title: 'The key does not allow this', retryable: false },
  headersTooLarge: { status: 431, title: 'The request headers are too large', retryable: false },
  jobFinal: { status: 409, title: 'The job has already ended', retryable: false },
  noTarget: { status: 503, title: 'No target can take the request now', retryable: true },
  notFound: { status: 404, title: 'There is no such resource', retryable: false },
  onceInProgress: { status: 409, title: 'The request is running at this moment', retryable: true },
  onceKeyReused: { status: 422, title: 'The idempotency key belongs to another request', retryable: false },
  onceUnknown: { status: 409, title: 'The request may have run; its outcome is unknown', retryable: false },
  overloaded: { status: 503, title: 'This instance has no memory left for the request', retryable: true },
  platformDown: { status: 503, title: 'The platform service does not answer', retryable: true },
  quarantined: { status: 422, title: 'The request crashed the targets that ran it', retryable: false },
  queueFull: { status: 503, title: 'Too many requests are waiting', retryable: true },
  retryBudget: { status: 503, title: 'The request failed and the retry budget is spent', retryable: true },
  starting: { status: 503, title: 'This instance has no configuration yet', retryable: true },
  streamVersionUnknown: { status: 503, title: 'Where the stream may go on is not known', retryable: true },
  targetFailed: { status: 502, title: 'The target failed while it ran the request', retryable: true },
  timeout: { status: 504, title: 'The deadline passed before the answer was complete', retryable: true },
  unauthorized: { status: 401, title: 'The account key is missing or unknown', retryable: false },
  unknownModel: { status: 404, title: 'No such model is in service', retryable: false },
  unknownService: { status: 404, title: 'No such service exists', retryable: false }
} as const satisfies Record<string, RefusalTraits>

export type RefusalReason = keyof typeof REFUSAL_REASONS

/** Reasons for a retry of a request or call; the texts describe the labels of the metric. */
export const RETRY_REASONS = {
  connectFailed: 'No connection to the target was established; nothing ran.',
  homeLost: 'The owner, the instance that grants the slots of the target, did not respond.',
  modelNotLoaded: 'The target has not loaded the model; nothing ran.',
  otherVersion: 'The target runs another software version than the one that began the stream.',
  peerUnavailable: 'A peer instance did not respond.',
  platformConflict: 'Another writer changed the object first.',
  platformUnavailable: 'The platform service did not respond.',
  slotRevoked: 'A batch slot was revoked for a live request.',
  streamCut: 'The stream from the target ended before it was complete.',
  streamSilent: 'The stream from the target sent nothing within its time limit.',
  targetBusy: 'The target refused the request before running it.',
  targetError: 'The target responded with an error.',
  targetLeaving: 'The target is shutting down; nothing ran.'
} as const satisfies Record<string, string>

export type RetryReason = keyof typeof RETRY_REASONS
