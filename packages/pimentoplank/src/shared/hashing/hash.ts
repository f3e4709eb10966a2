/** Fast non-cryptographic hashes (xxHash) that are the same in every process. */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Hashes text to an unsigned 32-bit number. */
export function hash32 (text: string): number {
  return hasher.h32(text)
}

/** Hashes text to an unsigned 64-bit number. */
export function hash64 (text: string): bigint {
  return hasher.h64(text)
}

/** Hashes text to 16 hexadecimal digits. */
export function hashHex (text: string): string {
  return hasher.h64ToString(text)
}
