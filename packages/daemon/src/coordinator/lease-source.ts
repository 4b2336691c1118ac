/** Reports until when this VM holds the lease to coordinate an endpoint. Settings and reason codes call this lease a right. */
export abstract class LeaseSource {
  /** Expiry of the lease in milliseconds of the monotonic clock; a time in the past when this VM holds none. */
  abstract leaseUntil (endpoint: string): number
}
