/** Times of the control loops, in milliseconds unless stated otherwise. */
export interface ControlTiming {
  /** How long a grant lasts. Longer than the replacement of a lost leader takes, which is `membershipMilliseconds` and two confirmations. */
  readonly holdMilliseconds: number
  /** Time between renewals of a grant. */
  readonly renewMilliseconds: number
  /** By how much an endpoint's clock may run slow, as a share. */
  readonly clockSlack: number
  /** Limit of one call to an endpoint about grants. */
  readonly grantCallMilliseconds: number
  /** An endpoint that cannot be reached for this long loses its keys. */
  readonly suspectMilliseconds: number
  /** How long a leader that cannot read the log goes on renewing grants. */
  readonly staleLeaderMilliseconds: number
  /** A member that has not confirmed for this long is taken for lost. */
  readonly membershipMilliseconds: number
  /** Time between confirmations of the membership. */
  readonly confirmMilliseconds: number
  /** Limit of one call to the log, besides the time that it is asked to wait. */
  readonly logCallMilliseconds: number
  /** Longest wait of one read for a change. */
  readonly logWaitMilliseconds: number
  /** Time between reads of the directory. */
  readonly directoryMilliseconds: number
  /** The first assignment waits until no endpoint has joined for this long, since they join one after the other. */
  readonly settleMilliseconds: number
  /** Time between plans that spread load. */
  readonly spreadMilliseconds: number
  /** An endpoint whose keys changed is left alone for this long, until its demand is measured anew. */
  readonly restMilliseconds: number
}

/** Defaults. */
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
  logWaitMilliseconds: 10_000,
  directoryMilliseconds: 1_000,
  settleMilliseconds: 1_500,
  spreadMilliseconds: 1_000,
  restMilliseconds: 2_000
}
