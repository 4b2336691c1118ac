/** Reason of a refusal by a VM that is short of processor time. */
export const overloadedReason = 'overloaded'

// Share of the useful time of a request for which it waits for its turn, on the VM of its caller and once more on the coordinator. The rest is
// for the endpoint. A longer wait would not let a VM serve more requests, only all of them later.
const turnWaitShare = 0.125

/** Longest time for which a request waits for its turn on one VM, given the time within which its answer is useful, in milliseconds. */
export function longestTurnWait (usefulMilliseconds: number): number {
  return turnWaitShare * usefulMilliseconds
}
