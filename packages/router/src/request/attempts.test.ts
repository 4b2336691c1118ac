import { expect } from 'chai'
import { MonotonicClock } from '@briarsaddle/common'
import type { EndpointReply } from '../endpoint-transport.js'
import { repeatingTable, SingleEndpointRouter } from '../stand-ins/single-endpoint-router.js'

const answered: EndpointReply = { kind: 'answered', status: 200, headers: [], body: Buffer.from('ok'), lengthKnown: true, load: undefined, limit: 'none' }
const lost: EndpointReply = { kind: 'broken', reason: 'connection_broken' }
const full: EndpointReply = { kind: 'refused', reason: 'endpoint_full', load: undefined, limit: 'none' }
const notOwner: EndpointReply = { kind: 'refused', reason: 'not_owner', load: undefined, limit: 'none' }
const unreachable: EndpointReply = { kind: 'unreachable' }
const caller = { host: 'a', key: '7' }

// Guards against requests that reach more endpoints than the operator allows for one attempt of a caller (BUDGET).
describe('RangeRouter, endpoints that a request is sent to', () => {
  const cases: ReadonlyArray<readonly [what: string, pool: 'ponds' | 'desk', attempts: number, replies: readonly EndpointReply[], sends: number, endpoints: number, status: number]> = [
    ['a lost answer', 'desk', 1, [lost], 1, 1, 502],
    ['a refusal', 'desk', 1, [full], 1, 1, 503],
    ['an endpoint that cannot be reached', 'desk', 1, [unreachable], 2, 2, 200],
    ['a lost answer', 'desk', 2, [lost], 2, 2, 200],
    ['two refusals', 'desk', 2, [full, full], 2, 2, 503],
    ['a lost answer', 'ponds', 1, [lost], 1, 1, 502],
    ['a refusal by the owner of the key', 'ponds', 1, [full], 2, 1, 200],
    ['a refusal by an endpoint that no longer holds the key', 'ponds', 1, [notOwner], 1, 1, 503],
    ['a refusal by an endpoint that no longer holds the key', 'ponds', 2, [notOwner], 2, 1, 200]
  ]
  for (const [what, pool, attempts, replies, sends, endpoints, status] of cases) {
    it(`sends to ${endpoints} with ${attempts} allowed after ${what}, in a pool ${pool === 'ponds' ? 'with' : 'without'} keys`, async () => {
      const bed = new SingleEndpointRouter(new MonotonicClock(), 10)
      bed.router.use({
        ...repeatingTable,
        routes: repeatingTable.routes.map(route => ({ ...route, idempotent: true, attempts, targets: [{ pool, weight: 1 }] })),
        pools: [...repeatingTable.pools, { name: 'desk', keyed: false, maximumConnections: 100 }]
      })
      bed.endpoint.reply = answered
      bed.endpoint.next.push(...replies)
      expect(await bed.send(caller)).to.include({ status })
      expect(bed.endpoint.sentTo).to.have.length(sends)
      expect(new Set(bed.endpoint.sentTo).size).to.equal(endpoints)
    })
  }
})
