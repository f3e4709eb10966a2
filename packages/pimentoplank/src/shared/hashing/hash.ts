/** Fast non-cryptographic hashes (xxHash) that are the same in every process. */
import xxhash, { type XXHashAPI } from 'xxhash-wasm'

let hasher: XXHashAPI

/**
 * Resolves when the functions can be used. A static import waits for it; in a bundle, a dynamic import of modules that
 * use them may not.
 */
export const hashesReady: Promise<void> = xxhash().then((loaded) => { hasher = loaded })

await hashesReady

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
