/** Sizes of the objects that hold the input and results of jobs. */

/** Part of an object's size that is left for its name, revisions and the id of its write, in bytes. */
const OBJECT_OVERHEAD_BYTES = 4096

/** Maximum length of all texts in the cache of results, and in that of inputs, in characters. */
export const MAX_CACHED_CHARS = 12_000_000
/** Length of an object beside its texts that is counted, in characters. */
const OBJECT_CHARS = 200

/** Counts the characters of texts, with those of the objects that hold them. */
export function countChars (texts: readonly string[]): number {
  return texts.reduce((sum, { length }) => sum + length + OBJECT_CHARS, OBJECT_CHARS)
}

/** Returns the size of the content that an object may have, in bytes. */
export function getMaxContentBytes (maxObjectBytes: number): number {
  return maxObjectBytes - OBJECT_OVERHEAD_BYTES
}

/** Counts the bytes of a value in JSON. */
export function countEncodedBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

/** Returns the first values whose sizes in JSON add up to at most `maxBytes`; at least one, if there is any. */
export function takeFitting<Value> (values: readonly Value[], maxBytes: number): Value[] {
  return measureFitting(values, maxBytes).taken
}

/** Like `takeFitting`; returns also the size of the values that it takes, in bytes of JSON. */
export function measureFitting<Value> (
  values: readonly Value[], maxBytes: number
): { taken: Value[], bytes: number } {
  const taken: Value[] = []
  let bytes = 0
  for (const value of values) {
    // Each is followed by a comma.
    const valueBytes = countEncodedBytes(value) + 1
    if (taken.length > 0 && bytes + valueBytes > maxBytes) break
    taken.push(value)
    bytes += valueBytes
  }
  return { taken, bytes }
}
