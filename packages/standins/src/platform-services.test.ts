import { expect } from 'chai'
import { delay } from '@briarsaddle/common'
import type { HttpStandIn } from './http-stand-in.js'
import { LogService } from './log-service.js'
import { VmListService } from './vm-list-service.js'

describe('stand-ins of the platform services', () => {
  let service: HttpStandIn
  let origin: string

  async function start (started: HttpStandIn): Promise<void> {
    service = started
    origin = `http://127.0.0.1:${(await service.listen({ host: '127.0.0.1', port: 0 })).port}`
  }
  const get = async (path: string): Promise<readonly [number, unknown]> => {
    const response = await fetch(origin + path)
    return [response.status, await response.json()]
  }
  const post = async (path: string, body: unknown): Promise<number> => (await fetch(origin + path, { method: 'POST', body: JSON.stringify(body) })).status
  const append = async (body: string): Promise<number> => await post('/streams/s/records', body).catch(() => 0)

  afterEach(async () => await service.close())

  it('LogService answers a waiting read as soon as a record is appended, so that readers need no busy polling', async () => {
    await start(new LogService())
    const read = get('/streams/s/records?from=0&waitMilliseconds=5000')
    await delay(50)
    await append('a')
    expect(await read).to.deep.equal([200, { first: 0, next: 1, records: [{ offset: 0, body: '"a"' }] }])
    expect(await get('/streams/s/records?from=1&waitMilliseconds=20')).to.deep.equal([200, { first: 0, next: 1, records: [] }])
  })

  it('LogService answers 410 with the first offset beyond its retention, so that readers notice the gap', async () => {
    await start(new LogService({ retainRecords: 3 }))
    for (const text of ['a', 'b', 'c', 'd']) await append(text)
    expect(await get('/streams/s/records?from=0')).to.deep.equal([410, { first: 1, next: 4 }])
    await post('/_control', { forgetBefore: 4 })
    expect(await get('/streams/s/records?from=3')).to.deep.equal([410, { first: 4, next: 4 }])
    expect(await get('/streams/s/records?from=4')).to.deep.equal([200, { first: 4, next: 4, records: [] }])
  })

  it('LogService writes the record whose answer it loses, and writes none in an outage', async () => {
    await start(new LogService())
    await post('/_control', { loseAnswers: 1 })
    expect(await append('lost')).to.equal(0)
    const held = get('/streams/s/records?from=1&waitMilliseconds=5000').catch(() => 'cut')
    await delay(50)
    await post('/_control', { outage: true })
    expect(await held).to.equal('cut')
    expect(await append('refused')).to.equal(0)
    await post('/_control', { outage: false })
    expect(await append('b')).to.equal(201)
    expect(await get('/streams/s/records?from=0')).to.deep.equal([200, { first: 0, next: 2, records: [{ offset: 0, body: '"lost"' }, { offset: 1, body: '"b"' }] }])
  })

  it('LogService refuses appends beyond its rate with 429, so that a flood of records shows in tests', async () => {
    await start(new LogService({ appendsPerSecond: 2 }))
    expect([await append('a'), await append('b'), await append('c')]).to.deep.equal([201, 201, 429])
  })

  it('VmListService shows a change only after its lag and rejects an invalid list', async () => {
    await start(new VmListService({ lagMilliseconds: 100 }))
    const vm = { id: 'a', role: 'entry', dataCentre: 'east', host: '127.0.0.1', port: 1, state: 'live' }
    expect(await post('/_control/vms', [vm])).to.equal(200)
    expect(await post('/_control/vms', [vm, vm])).to.equal(400)
    expect(await get('/vms')).to.deep.equal([200, []])
    await delay(120)
    expect(await get('/vms')).to.deep.equal([200, [vm]])
  })
})
