import { expect } from 'chai'
import { MonotonicClock } from '@briarsaddle/common'
import type { EndpointReply } from '../endpoint-transport.js'
import { repeatingTable, SingleEndpointRouter } from '../stand-ins/single-endpoint-router.js'

const framed: EndpointReply = { kind: 'answered', status: 200, headers: [], body: Buffer.from('framed'), lengthKnown: true, load: undefined, limit: 'none' }
const unframed: EndpointReply = { ...framed, body: Buffer.from('unframed'), lengthKnown: false }
const caller = { host: 'a', key: '7' }

describe('RangeRouter, with answers without a length', () => {
  let bed: SingleEndpointRouter

  function start (repeats: number, idempotent: boolean): void {
    bed = new SingleEndpointRouter(new MonotonicClock(), repeats)
    bed.router.use({ ...repeatingTable, routes: repeatingTable.routes.map(route => ({ ...route, idempotent })) })
    bed.endpoint.reply = framed
    bed.endpoint.next.push(unframed)
  }

  it('passes one on without a length when it may end the connection', async () => {
    start(10, true)
    const { status, body, headers, endsWithConnection } = await bed.send(caller)
    expect({ status, body: body.toString(), headers, endsWithConnection }).to.deep.equal({ status: 200, body: 'unframed', headers: [], endsWithConnection: true })
    expect(bed.endpoint.received).to.equal(1)
  })

  // Guards against answers that are dropped behind one that ends with the connection (LOST, review case 3).
  it('repeats the request when other answers are owed on the connection', async () => {
    start(10, true)
    const { status, body, endsWithConnection } = await bed.send(caller, () => false)
    expect({ status, body: body.toString(), endsWithConnection }).to.deep.equal({ status: 200, body: 'framed', endsWithConnection: undefined })
    expect(bed.endpoint.received).to.equal(2)
    expect(await bed.metrics.text()).to.include('briarsaddle_requests_total{pool="ponds",outcome="answered",reason="none"} 1')
  })

  // Guards against a repeat of work that must not run twice (TWICE).
  it('reports that the outcome is not known instead, when the request must not run twice', async () => {
    start(10, false)
    expect(await bed.send(caller, () => false)).to.include({ status: 502 })
    expect(bed.endpoint.received).to.equal(1)
  })

  it('reports that the outcome is not known when the retry budget is used up, or every answer is without a length', async () => {
    start(0, true)
    expect(await bed.send(caller, () => false)).to.include({ status: 502 })
    expect(bed.endpoint.received).to.equal(1)
    start(10, true)
    bed.endpoint.reply = unframed
    expect(await bed.send(caller, () => false)).to.include({ status: 502 })
    expect(bed.endpoint.received).to.equal(2)
  })
})
