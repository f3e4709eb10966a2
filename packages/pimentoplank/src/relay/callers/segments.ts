/** Segments into which bodies are read. Large ones are used again, as the garbage collector frees them late. */
import { KIB_BYTES } from '../../shared'

const MIN_SEGMENT_BYTES = KIB_BYTES
const MAX_SEGMENT_BYTES = 64 * KIB_BYTES
/** Number of unused segments that are kept. */
const MAX_SPARE_SEGMENTS = 128

const spareSegments: Buffer[] = []

/**
 * Returns the size of the next segment of a body, which grows with the body.
 *
 * @param allocatedBytes - size of all its segments so far, in bytes
 */
export function getSegmentBytes (allocatedBytes: number): number {
  return Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, allocatedBytes))
}

/** Returns a segment with any content. */
export function takeSegment (bytes: number): Buffer {
  const spare = bytes === MAX_SEGMENT_BYTES ? spareSegments.pop() : undefined
  return spare ?? Buffer.allocUnsafeSlow(bytes)
}

/** Takes back segments that are no longer used. */
export function returnSegments (segments: readonly Buffer[]): void {
  for (const segment of segments) {
    if (spareSegments.length >= MAX_SPARE_SEGMENTS) return
    if (segment.length === MAX_SEGMENT_BYTES) spareSegments.push(segment)
  }
}
