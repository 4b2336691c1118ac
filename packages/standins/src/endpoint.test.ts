import { expect } from 'chai'
import { request as send } from 'undici'
import { delay } from '@briarsaddle/common'
import { Endpoint, type EndpointOptions } from './endpoint.js'

interface Reply { readonly status: number, readonly notRun: unknown, readonly body: Readonly<Record<string, unknown>>, readonly bytes: number }

describe('Endpoint', () => {
  let endpoint: Endpoint
  let origin: string

  async function start (options: Partial<EndpointOptions>): Promise<void> {
    endpoint = new Endpoint({ checks: false, serviceMilliseconds: 0, ...options })
    origin = `http://127.0.0.1:${(await endpoint.listen({ host: '127.0.0.1', port: 0 })).port}`
  }

  async function call (path: string, options: { readonly body?: unknown, readonly headers?: Readonly<Record<string, string>>, readonly signal?: AbortSignal } = {}): Promise<Reply> {
    const response = await send(origin + path, {
      method: options.body === undefined ? 'GET' : 'POST',
      headers: { 'briarsaddle-key': 'k', 'briarsaddle-request': 'r', ...options.headers },
      body: options.body === undefined ? null : JSON.stringify(options.body),
      signal: options.signal
    })
    const text = await response.body.text()
    return { status: response.statusCode, notRun: response.headers['briarsaddle-not-run'], body: JSON.parse(text), bytes: text.length }
  }

  async function results (): Promise<readonly string[]> {
    const { body } = await call('/_record')
    return (body['requests'] as ReadonlyArray<{ readonly result: string }>).map(({ result }) => result)
  }

  afterEach(async () => await endpoint.close())

  it('counts effects per key, so that a test can see a request that ran twice', async () => {
    await start({ id: 'e1' })
    await call('/')
    expect((await call('/')).body).to.deep.equal({ endpoint: 'e1', key: 'k', request: 'r', count: 2 })
    expect((await call('/', { headers: { 'x-response-bytes': '5000' } })).bytes).to.equal(5000)
  })

  it('sheds while all slots are busy, so that slots are a real limit', async () => {
    await start({ slots: 1, serviceMilliseconds: 100 })
    const first = call('/')
    await delay(30)
    expect(await call('/')).to.include({ status: 503, notRun: 'shed' })
    expect(await first).to.include({ status: 200 })
    expect(await results()).to.deep.equal(['completed', 'refused:shed'])
  })

  it('sheds for the time that a test asks for and then runs requests again', async () => {
    await start({})
    await call('/_control', { body: { shedMilliseconds: 100 } })
    expect(await call('/')).to.include({ status: 503, notRun: 'shed' })
    await delay(110)
    expect(await call('/')).to.include({ status: 200 })
  })

  it('frees the slot without an effect when the caller disconnects, so that cancelled work does not count', async () => {
    await start({ slots: 1, serviceMilliseconds: 10_000 })
    await call('/', { signal: AbortSignal.timeout(50) }).catch(() => {})
    await delay(30)
    expect((await call('/', { headers: { 'x-service-milliseconds': '0' } })).body).to.include({ count: 1 })
    expect(await results()).to.deep.equal(['cancelled', 'completed'])
  })

  it('ends work at its deadline without an effect, so that a late request does not run', async () => {
    await start({ serviceMilliseconds: 200 })
    const { body: hello } = await call('/.grants/hello', { body: { coordinator: 'vm-1', token: { offset: 1, provisional: 0 } } })
    const clock = hello['clock'] as number
    expect(await call('/', { headers: { 'briarsaddle-deadline': String(clock + 60) } })).to.include({ status: 409, notRun: 'deadline-past' })
    expect(await call('/', { headers: { 'briarsaddle-deadline': String(clock) } })).to.include({ status: 409, notRun: 'deadline-past' })
  })

  it('refuses the effect of work whose grant expired during a freeze', async () => {
    await start({ checks: true, serviceMilliseconds: 50 })
    const token = { offset: 1, provisional: 0 }
    const { body: hello } = await call('/.grants/hello', { body: { coordinator: 'vm-1', token } })
    const instance = String(hello['instance'])
    await call('/.grants/renew', { body: { instance, coordinator: 'vm-1', token, list: 1, buckets: [{ bucket: 1, token: 2 }], validUntil: (hello['clock'] as number) + 200 } })
    const headers = { 'briarsaddle-instance': instance, 'briarsaddle-coordinator': 'vm-1', 'briarsaddle-token': '1.0', 'briarsaddle-bucket': '1', 'briarsaddle-bucket-token': '2' }
    const work = call('/', { headers })
    await delay(20)
    await call('/_control', { body: { freezeMilliseconds: 300 } })
    expect(await work).to.include({ status: 409, notRun: 'effect-refused' })
  })

  it('returns the body of a request that asks for it, so that a test can compare a whole answer', async () => {
    await start({})
    expect((await call('/', { body: { text: 'own' }, headers: { 'x-echo-body': 'true' } })).body).to.deep.equal({ text: 'own' })
  })

  it('sheds until its cold start is over and says so in hello', async () => {
    await start({ coldStartMilliseconds: 100 })
    const hello = async (): Promise<unknown> => (await call('/.grants/hello', { body: { coordinator: 'vm-1', token: { offset: 1, provisional: 0 } } })).body['ready']
    expect(await hello()).to.equal(false)
    expect(await call('/')).to.include({ status: 503, notRun: 'shed' })
    await delay(110)
    expect(await hello()).to.equal(true)
  })

  it('reports the load it is told to report, so that a test can make it lie', async () => {
    await start({})
    await call('/_control', { body: { reportedLoad: 0.9, drain: true } })
    const { body } = await call('/.grants/renew', { body: { instance: 'any', coordinator: 'vm-1', token: { offset: 1, provisional: 0 }, list: 1, buckets: [], validUntil: 0 } })
    expect(body).to.include({ load: 0.9, draining: true })
  })
})
