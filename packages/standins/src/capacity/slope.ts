/** Straight lines through measured points. */

export interface Line {
  /** Value at size 0. */
  base: number
  /** Growth for one more of the size. */
  slope: number
  /** Largest distance of a point from the line, as a share of the point. */
  worstMiss: number
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of size and value, of two sizes at least
 */
export function fitLine (points: ReadonlyArray<{ size: number, value: number }>): Line {
  const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanSize = mean(points.map(({ size }) => size))
  const meanValue = mean(points.map(({ value }) => value))
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const shared = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const slope = shared / spread
  const base = meanValue - slope * meanSize
  const misses = points.map(({ size, value }) => Math.abs(base + slope * size - value) / Math.abs(value || 1))
  return { base, slope, worstMiss: Math.max(...misses) }
}
