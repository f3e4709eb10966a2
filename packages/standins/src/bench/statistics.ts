/** Summaries of repeated measurements. */

export interface Summary {
  median: number
  min: number
  max: number
  count: number
}

/** Summarizes the defined values; undefined when there are none. */
export function summarize (values: ReadonlyArray<number | undefined>): Summary | undefined {
  const sorted = values.filter((value) => value !== undefined).sort((a, b) => a - b)
  if (sorted.length === 0) return undefined
  const middle = Math.floor(sorted.length / 2)
  const median = sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
  return { median, min: sorted[0]!, max: sorted.at(-1)!, count: sorted.length }
}
