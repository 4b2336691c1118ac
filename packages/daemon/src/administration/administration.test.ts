import { expect } from 'chai'
import { BriarsaddleError } from '@briarsaddle/common'
import { KeyHasher, noVersion, type ControlState } from '@briarsaddle/ownership'
import { parseRules, type RuleFile } from '@briarsaddle/rules'
import { ControlView } from '../contracts.js'
import { AdministrationOperations, AdministrationServer, StateDump, type OperationResult } from './index.js'

const rulesText = 'GET /ponds/:pond pool=ponds key=path:pond idempotent class=normal deadline=5s # Anja'

class TestControl extends ControlView {
  state: ControlState = {
    position: 4,
    rules: { version: 3, text: rulesText, author: 'Anja' },
    witnesses: { version: noVersion, vms: [], pending: undefined },
    endpoints: new Map(),
    pools: new Map([['ponds', { version: 1, buckets: Array.from({ length: 1024 }, () => ({ owner: 'e1', token: 1, pendingFrom: undefined, former: undefined })) }]]),
    recentIds: []
  }

  rules: RuleFile = parseRules(rulesText, 'rules.txt')
  async waitForPosition (): Promise<boolean> { return true }
}

class TestDump extends StateDump {
  async dump (): Promise<unknown> { return { dumped: true } }
}

class TestOperations extends AdministrationOperations {
  async drain (endpoint: string): Promise<OperationResult> {
    if (endpoint === 'gone') throw new BriarsaddleError('no such endpoint', { code: 'unknown_endpoint', step: 'drain' })
    return { offset: 9 }
  }

  async releaseWitnesses (): Promise<OperationResult> { throw new TypeError('secret detail') }
}

describe('AdministrationServer', () => {
  const authorization = 'Bearer 0123456789abcdef'
  let server: AdministrationServer
  let base: string
  let serving = true

  before(async () => {
    server = new AdministrationServer({
      host: '127.0.0.1', port: 0, token: '0123456789abcdef', control: new TestControl(), hasher: await KeyHasher.create(), dump: new TestDump(), operations: new TestOperations(), isServing: () => serving
    })
    base = `http://127.0.0.1:${await server.listen()}`
  })

  after(async () => { await server.close() })

  async function call (path: string, init: RequestInit = {}): Promise<{ readonly status: number, readonly body: unknown }> {
    const response = await fetch(base + path, { headers: { authorization }, ...init })
    return { status: response.status, body: await response.json() }
  }

  async function post (path: string, body: string): Promise<{ readonly status: number, readonly body: unknown }> {
    return await call(path, { method: 'POST', body })
  }

  for (const path of ['/state', '/rules', '/owner?pool=ponds&key=1', '/match?method=GET&path=/ponds/1', '/nothing']) {
    it(`refuses ${path} without the correct token`, async () => {
      for (const headers of [{}, { authorization: 'Bearer 0123456789abcdeX' }, { authorization: 'Bearer 0' }, { authorization: 'Basic 0123456789abcdef' }]) {
        expect(await call(path, { headers })).to.have.property('status', 401)
      }
    })
  }

  it('refuses an operation without a token before it reads the body', async () => {
    expect(await call('/drain', { method: 'POST', headers: {}, body: '{"endpoint":"e1","author":"a"}' })).to.have.property('status', 401)
  })

  it('answers from the control state that the VM uses, so that operators see no other state', async () => {
    expect((await call('/state')).body).to.deep.equal({ dumped: true })
    expect((await call('/rules')).body).to.deep.include({ version: 3, author: 'Anja', text: rulesText })
    expect((await call('/owner?pool=ponds&key=1')).body).to.deep.include({ owner: 'e1', token: 1, position: 4 })
    expect((await call('/match?method=get&path=/ponds/1')).body).to.deep.include({ outcome: 'matched', key: '1' })
    expect((await post('/drain', '{"endpoint":"e1","author":"a"}')).body).to.deep.equal({ offset: 9 })
  })

  it('returns errors as data and hides the details of unexpected ones, so that no internals leak', async () => {
    expect(await post('/drain', '{"endpoint":"gone","author":"a"}')).to.deep.equal({ status: 404, body: { error: { code: 'unknown_endpoint', step: 'drain', message: 'no such endpoint' } } })
    expect(await post('/drain', '{"endpoint":"e1"}')).to.have.property('status', 400)
    expect(await post('/drain', 'no')).to.have.property('status', 400)
    expect(await call('/owner?pool=none&key=1')).to.have.property('status', 404)
    expect(await post('/drain', 'x'.repeat(70_000))).to.have.property('status', 413)
    const failed = await post('/witnesses/release', '{"lost":["vm1"],"author":"a"}')
    expect(failed.status).to.equal(500)
    expect(JSON.stringify(failed.body)).to.not.include('secret')
  })

  it('reports to the balancer without a token that the VM stops, so that it sends no more callers', async () => {
    expect(await call('/healthz', { headers: {} })).to.have.property('status', 200)
    serving = false
    expect(await call('/healthz', { headers: {} })).to.have.property('status', 503)
  })
})
