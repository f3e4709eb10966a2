/** A set of small numbers that an object holds as base64. */

const BITS = 8

export interface Bitmap {
  has: (index: number) => boolean
  add: (index: number) => void
  /** Numbers in the set, ascending. */
  values: () => number[]
  encode: () => string
}

/**
 * Creates a set of numbers from 0 to below `size`.
 *
 * @param encoded - what `encode` gave; empty for an empty set
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
