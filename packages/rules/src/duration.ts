const millisecondsPerUnit: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }

/**
 * Longest deadline that a rule may set. After a bucket leaves an endpoint that does not check grants, the bucket stays
 * pending until the longest deadline of the pool has passed, because that endpoint finishes the requests it has.
 */
export const maximumDeadlineMilliseconds = 24 * 3_600_000

/** Parses a duration such as `250ms`, `20s`, `5m` or `2h` to milliseconds. Returns undefined when it is invalid or over 24 hours. */
export function parseDuration (text: string): number | undefined {
  const parts = /^([1-9]\d{0,8})(ms|s|m|h)$/.exec(text)
  const milliseconds = Number(parts?.[1]) * (millisecondsPerUnit[parts?.[2] ?? ''] ?? NaN)
  return milliseconds <= maximumDeadlineMilliseconds ? milliseconds : undefined
}
