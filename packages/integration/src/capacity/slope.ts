/** A straight line fitted by least squares. */
export interface Slope {
  readonly perUnit: number
  readonly atZero: number
}

/** Fits a line through points `[x, y]`. */
export function fitSlope (points: ReadonlyArray<readonly [number, number]>): Slope {
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const perUnit = spread === 0 ? 0 : points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / spread
  return { perUnit, atZero: meanY - perUnit * meanX }
}

/** Returns the mean, or 0 without values. */
export function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Returns the median, or 0 without values. */
export function median (values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 0
}
