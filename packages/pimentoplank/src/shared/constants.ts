/** Units of time and size. */

export const MS_PER_SECOND = 1000
export const SECOND_MS = 1000
export const MINUTE_MS = 60 * SECOND_MS
export const HOUR_MS = 60 * MINUTE_MS
export const KIB_BYTES = 1024
export const MIB_BYTES = 1024 * KIB_BYTES
