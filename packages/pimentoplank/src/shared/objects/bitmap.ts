/** Set of small integers that is stored as base64. */

const BITS = 8

export interface Bitmap {
  has: (index: number) => boolean
  add: (index: number) => void
  /** Returns the numbers in the set, in ascending order. */
  values: () => number[]
  encode: () => string
}

/**
 * Creates a set of integers from 0 to `size - 1`.
 *
 * @param encoded - result of `encode`; empty for an empty set
 */
export function createBitmap (size: number, encoded = ''): Bitmap {
  const bytes = Buffer.alloc(Math.ceil(size / BITS))
  Buffer.from(encoded, 'base64').copy(bytes)

  function has (index: number): boolean {
    return (bytes[Math.floor(index / BITS)]! & (1 << index % BITS)) !== 0
  }

  return {
    has,
    add: (index) => { bytes[Math.floor(index / BITS)]! |= 1 << index % BITS },
    values: () => Array.from({ length: size }, (_, index) => index).filter(has),
    encode: () => bytes.toString('base64')
  }
}
