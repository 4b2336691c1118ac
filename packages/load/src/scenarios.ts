import { scenarioSchema, type Phase, type Scenario } from './scenario.js'

const level = [{ at: 0, factor: 1 }]
const opening = [{ at: 0, factor: 0.6 }, { at: 0.3, factor: 0.6 }, { at: 0.34, factor: 2.5 }, { at: 0.6, factor: 2.5 }, { at: 0.7, factor: 0.6 }]

const burstClubs = ['key-1', 'key-2']
// More than the slots of a server (2 or 3), so that a queue without classes gives all of them to long jobs.
const burstRequests = 4

/** Phases that both firms have; the season reconciliation differs in its kinds. */
function phases (keyedReconciliation: string, reconciliation: Readonly<Record<string, number>>): Readonly<Record<string, Phase>> {
  return {
    steady: { rate: level, window: { from: 0.1, to: 1 } },
    crest: { rate: opening, window: { from: 0.34, to: 0.65 } },
    flare: { rate: level, window: { from: 0.3, to: 0.9 }, flareShare: 0.15 },
    reconciliation: { rate: level, window: { from: 0.3, to: 0.9 }, weights: reconciliation },
    // The window of `steady`, so that the two phases differ in their long jobs alone.
    'long-jobs': { rate: level, window: { from: 0.1, to: 1 }, weights: reconciliation },
    // Few long jobs that meet on few servers: two clubs send theirs at once.
    'long-burst': { rate: level, window: { from: 0.1, to: 1 }, bursts: burstClubs.map(key => ({ at: 0.1, kind: keyedReconciliation, key, requests: burstRequests })) }
  }
}

const atlas = {
  name: 'atlas',
  requestsPerSecond: 900,
  pools: [
    { pool: 'ponds', endpoints: 20, slots: 2, keyed: true },
    { pool: 'dispatch', endpoints: 6, slots: 2, keyed: false }
  ],
  keys: 2000,
  keySkew: 0.6,
  kinds: [
    { name: 'sheet-status', method: 'GET', path: '/ponds/:key/sheet-status', pool: 'ponds', serviceClass: 'normal', idempotent: true, weight: 70, service: { meanMilliseconds: 20, distribution: 'exponential' }, deadlineMilliseconds: 10_000 },
    { name: 'flood-order', method: 'POST', path: '/ponds/:key/flood-orders', pool: 'ponds', serviceClass: 'normal', idempotent: false, weight: 20, service: { meanMilliseconds: 40, distribution: 'exponential' }, deadlineMilliseconds: 30_000 },
    { name: 'dispatch', method: 'POST', path: '/dispatches', pool: 'dispatch', serviceClass: 'prompt', idempotent: false, weight: 20, service: { meanMilliseconds: 30, distribution: 'exponential' }, deadlineMilliseconds: 2_000 },
    { name: 'season-reconciliation', method: 'POST', path: '/ponds/:key/season-reconciliation', pool: 'ponds', serviceClass: 'long', idempotent: false, weight: 0, service: { meanMilliseconds: 1_500, distribution: 'uniform' }, deadlineMilliseconds: 120_000 }
  ],
  phases: phases('season-reconciliation', { 'season-reconciliation': 1 })
}

const ostrina = {
  name: 'ostrina',
  requestsPerSecond: 1200,
  pools: [
    { pool: 'bookings', endpoints: 20, slots: 3, keyed: true },
    { pool: 'payments', endpoints: 6, slots: 3, keyed: false }
  ],
  keys: 2000,
  keySkew: 0.6,
  kinds: [
    { name: 'readiness', method: 'GET', path: '/clubs/:key/readiness', pool: 'bookings', serviceClass: 'prompt', idempotent: true, weight: 60, service: { meanMilliseconds: 15, distribution: 'exponential' }, deadlineMilliseconds: 2_000 },
    { name: 'slot-booking', method: 'POST', path: '/clubs/:key/slots', pool: 'bookings', serviceClass: 'normal', idempotent: false, weight: 25, service: { meanMilliseconds: 40, distribution: 'exponential' }, deadlineMilliseconds: 10_000 },
    { name: 'season-card', method: 'POST', path: '/season-cards/payments', pool: 'payments', serviceClass: 'normal', idempotent: false, weight: 15, service: { meanMilliseconds: 50, distribution: 'exponential' }, deadlineMilliseconds: 15_000 },
    { name: 'reconciliation', method: 'POST', path: '/clubs/:key/reconciliation', pool: 'bookings', serviceClass: 'long', idempotent: false, weight: 0, service: { meanMilliseconds: 2_000, distribution: 'uniform' }, deadlineMilliseconds: 120_000 },
    { name: 'payment-reconciliation', method: 'POST', path: '/payments/reconciliation', pool: 'payments', serviceClass: 'long', idempotent: false, weight: 0, service: { meanMilliseconds: 2_500, distribution: 'uniform' }, deadlineMilliseconds: 300_000 }
  ],
  phases: phases('reconciliation', { reconciliation: 1, 'payment-reconciliation': 0.3 })
}

/** The scenarios of both firms by name. */
export const scenarios: ReadonlyMap<string, Scenario> = new Map(
  [atlas, ostrina].map(data => [data.name, scenarioSchema.parse(data)])
)

/** Returns the scenario with service times `factor` times as long and a base rate that loads the pools as before. */
export function slowScenario (scenario: Scenario, factor: number): Scenario {
  return scenarioSchema.parse({
    ...scenario,
    requestsPerSecond: scenario.requestsPerSecond / factor,
    kinds: scenario.kinds.map(kind => ({ ...kind, service: { ...kind.service, meanMilliseconds: kind.service.meanMilliseconds * factor } }))
  })
}
