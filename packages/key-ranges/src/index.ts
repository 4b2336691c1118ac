export {
  emptyKeyMap, firstKey, lastKey, rangeText, sizeOf,
  type Holder, type KeyMap, type KeyRange, type Segment, type VmEntry
} from './key-map.js'
export { decodeKeyMap, encodeKeyMap } from './codec.js'
export { applyKeyMapDelta, encodeKeyMapDelta, sameVmList } from './delta.js'
export { checkLayout, layoutProblems } from './layout.js'
export { segmentAt, segmentsIn, holdersOf } from './lookup.js'
export { assignRange, joinSegments, markOpenMoves, raiseFences, raiseFencesOf, settleRange, withVms, type RangeMove } from './edit.js'
export { planMembership, type PoolMember } from './membership-plan.js'
export { defaultSpreadSettings, mergeKeyDemand, planSpread, type KeyDemand, type MemberDemand, type SpreadSettings } from './spread-plan.js'
export { GrantLedger, type GrantLedgerOptions, type PendingGrant } from './grant-ledger.js'
