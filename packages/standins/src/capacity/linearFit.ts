/** Linear fits of measured points. */

export interface Line {
  /** Fitted value at size 0. */
  base: number
  /** Increase of the value when the size grows by one. */
  slope: number
  /** Largest deviation of a point from the line, relative to the point's value. */
  worstMiss: number
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of size and value, with at least two different sizes
 */
export function fitLine (points: ReadonlyArray<{ size: number, value: number }>): Line {
  const computeMean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanSize = computeMean(points.map(({ size }) => size))
  const meanValue = computeMean(points.map(({ value }) => value))
  const sizeVariance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const covariance = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const slope = covariance / sizeVariance
  const base = meanValue - slope * meanSize
  const deviations = points.map(({ size, value }) => Math.abs(base + slope * size - value) / Math.abs(value || 1))
  return { base, slope, worstMiss: Math.max(...deviations) }
}
