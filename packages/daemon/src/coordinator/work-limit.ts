/**
 * Work at an endpoint that does not check ends this long before the right under which it was sent and the longest
 * deadline together allow. About 290 ms are left of a right that is renewed in time, so that no deadline is cut.
 */
const longestReserveMilliseconds = 200
/** Keeps the reserve small in pools with short deadlines. */
const reserveShare = 0.1

/** Latest end of a request that is sent under a right until `rightUntil`, in the same clock; milliseconds. */
export function latestWorkEnd (rightUntil: number, longestDeadline: number): number {
  return rightUntil + longestDeadline - reserve(longestDeadline)
}

/**
 * Time from which no request of former coordinators runs any more, when their rights have ended at `rightsEnd`;
 * `margin` is the allowed difference between the rates of two clocks, as a fraction.
 */
export function formerWorkEnd (rightsEnd: number, longestDeadline: number, margin: number): number {
  return rightsEnd + longestDeadline - reserve(longestDeadline) * (1 - margin)
}

function reserve (longestDeadline: number): number {
  return Math.min(longestReserveMilliseconds, longestDeadline * reserveShare)
}
