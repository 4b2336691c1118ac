export * from './records.js'
export * from './control-state.js'
export { applyRecord, initialState, newestWitnessList, parseRecord, skipRecord, type MalformedRecord, type ParsedRecord } from './reducer.js'
export { decodeState, encodeState } from './checkpoint.js'
export { ControlReader, type ControlPage, type ReadProblem, type ReadRecord, type ReadReport } from './control-reader.js'
export { KeyHasher } from './hash.js'
export { MembershipRing, watchersPerVm, type CoordinatedEndpoint, type RingVm } from './ring.js'
export { grantableBuckets, bucketsToRelease, defaultMaximumBalanceMoves, planAssignment, type FencedBucket, type Moves, type PlanRequest } from './placement.js'
export {
  EndpointClock, CoordinatorLease, LeaseExpiryTracker, WitnessRound, compareTokens, defaultLeaseOptions, isMajority, witnessAnswer, witnessLists,
  type CoordinatorToken, type LeaseOptions, type RoundOutcome, type LeaseExpiryOptions, type WitnessAnswer, type WitnessRequest
} from './leases.js'
