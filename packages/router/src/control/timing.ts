/** Timing of the control loops (membership, leadership, grants, reads of the log), in milliseconds unless stated otherwise. */
export interface ControlTiming {
  /**
   * How long a grant (the lease of an endpoint on its keys) lasts. Longer than the replacement of a lost leader, which takes
   * `membershipMilliseconds` and two confirmations.
   */
  readonly holdMilliseconds: number
  /** Time between renewals of a grant. */
  readonly renewMilliseconds: number
  /** How much slower than this VM's clock an endpoint's clock may run, as a fraction. */
  readonly clockSlack: number
  /** Timeout of one call that sends a grant to an endpoint. */
  readonly grantCallMilliseconds: number
  /** An endpoint that has been unreachable for this long loses its keys. */
  readonly suspectMilliseconds: number
  /** How long a leader that can neither read the key map nor confirm its membership goes on renewing grants. */
  readonly staleLeaderMilliseconds: number
  /** A VM that has not confirmed its membership for this long is treated as lost. */
  readonly membershipMilliseconds: number
  /** Interval between confirmations of the membership. */
  readonly confirmMilliseconds: number
  /** Timeout of one call to the log, in addition to the time that the call asks the log to wait for a change. */
  readonly logCallMilliseconds: number
  /** Longest time for which one read of the log waits for a change. With the timeout of a call, it bounds how long a read without an answer delays a change. */
  readonly logWaitMilliseconds: number
  /**
   * Interval between reads of the endpoint directory. An endpoint that leaves goes on for two seconds, within which a lost reader
   * must have been replaced too.
   */
  readonly directoryMilliseconds: number
  /** The first assignment of a pool waits until its number of endpoints has not changed for this long, since endpoints join one by one. */
  readonly settleMilliseconds: number
  /** Interval between plans that balance the load of the endpoints. */
  readonly spreadMilliseconds: number
  /** Load balancing leaves out an endpoint for this long after its keys changed, until its demand has been measured again. */
  readonly restMilliseconds: number
}

/** Default timing. */
export const defaultControlTiming: ControlTiming = {
  holdMilliseconds: 3_000,
  renewMilliseconds: 900,
  clockSlack: 0.02,
  grantCallMilliseconds: 400,
  suspectMilliseconds: 700,
  staleLeaderMilliseconds: 10_000,
  membershipMilliseconds: 1_200,
  confirmMilliseconds: 350,
  logCallMilliseconds: 700,
  logWaitMilliseconds: 1_000,
  directoryMilliseconds: 500,
  settleMilliseconds: 1_500,
  spreadMilliseconds: 1_000,
  restMilliseconds: 1_500
}
