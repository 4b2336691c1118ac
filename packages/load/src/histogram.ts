import { build } from 'hdr-histogram-js'
import type { LatencySummary } from './result.js'

const microsecondsPerMillisecond = 1000
const highestMilliseconds = 600_000

/** Summarises times in milliseconds, recorded to the microsecond with three digits. */
export function summarize (milliseconds: Iterable<number>): LatencySummary {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: highestMilliseconds * microsecondsPerMillisecond, numberOfSignificantValueDigits: 3, bitBucketSize: 32 })
  for (const value of milliseconds) {
    histogram.recordValue(Math.round(Math.min(Math.max(0, value), highestMilliseconds) * microsecondsPerMillisecond))
  }
  const count = histogram.totalCount
  const at = (percentile: number): number => count === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
  return { count, p50: at(50), p99: at(99), max: count === 0 ? 0 : histogram.maxValue / microsecondsPerMillisecond }
}
