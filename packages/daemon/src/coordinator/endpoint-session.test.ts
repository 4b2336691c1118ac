import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { delay, LifeCycle, MonotonicClock, Random } from '@briarsaddle/common'
import { Forward, Outcome, type Answer } from '@briarsaddle/protocol'
import { ClassPolicy } from '@briarsaddle/scheduling'
import { expect } from 'chai'
import { EndpointSession, EndpointView, SessionObserver } from './endpoint-session.js'
import { FormerHolderJournals } from './journal-imports.js'
import { JournalSink } from './journal.js'
import { LongDurations } from './long-work.js'
import { LeaseSource } from './lease-source.js'

class TestRights extends LeaseSource {
  until = Infinity
  override leaseUntil (): number { return this.until }
}

class NoBuckets extends EndpointView {
  takeoverEndsAt: number | undefined = -Infinity
  override owned (): readonly never[] { return [] }
  override leaving (): readonly number[] { return [] }
  override handedOver (): readonly never[] { return [] }
  override bucket (): undefined { return undefined }
  override takeoverAt (): number | undefined { return this.takeoverEndsAt }
}

class NoObserver extends SessionObserver {
  override stateChanged (): void {}
  override bucketsRevoked (): void {}
  override longJobArrives (): void {}
  override waitedBehindLong (): void {}
}

class NoFormerHolders extends FormerHolderJournals {
  override async fetch (): Promise<undefined> { return undefined }
}

class NoJournal extends JournalSink {
  override async send (): Promise<never> { throw new Error('no standby') }
}

/** An endpoint with one slot whose requests end when the test calls `finishAll`. */
class HeldEndpoint {
  readonly #held: ServerResponse[] = []
  readonly server: Server = createServer((request, response) => this.#answer(request, response))
  fenced = false

  get running (): number { return this.#held.length }

  finishAll (): void {
    for (const response of this.#held.splice(0)) response.writeHead(200).end('done')
  }

  #answer (request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    if (request.url?.startsWith('/.grants/') !== true) {
      this.#held.push(response)
      return
    }
    response.writeHead(this.fenced ? 409 : 200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ instance: 'i', clock: performance.now(), slots: 1, checks: true, load: 0, draining: false, running: this.running }))
  }
}

describe('EndpointSession', () => {
  let endpoint: HeldEndpoint
  let rights: TestRights
  let lifeCycle: LifeCycle
  let session: EndpointSession
  let view: NoBuckets

  beforeEach(async () => {
    endpoint = new HeldEndpoint()
    rights = new TestRights()
    view = new NoBuckets()
    lifeCycle = new LifeCycle('test')
    await new Promise<void>(resolve => endpoint.server.listen(0, '127.0.0.1', resolve))
    const { port } = endpoint.server.address() as AddressInfo
    session = createSession(port)
    session.start()
    while (session.grants.state !== 'active') await delay(5)
  })

  function createSession (port: number): EndpointSession {
    return new EndpointSession({
      coordinatorName: 'vm1/1',
      description: { id: 'e1', pool: 'dispatch', dataCentre: 'a', host: '127.0.0.1', port, checks: true },
      token: { offset: 1, provisional: 0 },
      standby: undefined,
      clock: new MonotonicClock(),
      random: new Random(1),
      rights,
      timing: { grantMilliseconds: 400, renewMilliseconds: 50, suspectMilliseconds: 250, clockMarginPercent: 2 },
      view,
      observer: new NoObserver(),
      journalSink: new NoJournal(),
      formerHolders: new NoFormerHolders(),
      poolRunner: () => undefined,
      policy: new ClassPolicy(),
      longDurations: new LongDurations(() => 1),
      admission: true,
      maximumQueued: 10,
      maximumConnections: 5,
      maximumAnswerBytes: 1_000
    }, lifeCycle)
  }

  afterEach(async () => {
    endpoint.finishAll()
    await lifeCycle.close()
    endpoint.server.closeAllConnections()
    await new Promise(resolve => endpoint.server.close(resolve))
  })

  async function send (requestId: string, deadlineMilliseconds = 60_000): Promise<Answer> {
    const forward = Forward.create({ requestId, method: 'POST', target: '/dispatches', bucket: -1, rule: 1, deadlineMilliseconds })
    return await session.handle(forward, new AbortController().signal)
  }

  async function sendTwo (): Promise<{ readonly running: Promise<Answer>, readonly queued: Promise<Answer> }> {
    const running = send('running')
    while (endpoint.running === 0) await delay(5)
    const queued = send('queued')
    while (session.queue.queued === 0) await delay(5)
    return { running, queued }
  }

  // Guards against a request that is refused only when its turn comes, for example after a job of two minutes.
  it('refuses queued requests while the job before them still runs, once the renewal of the lease is overdue', async () => {
    const { running, queued } = await sendTwo()
    rights.until = performance.now()
    expect(await queued).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'right_expired', retryAfterMilliseconds: 1_000 })
    expect(await send('later')).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'right_expired' })
    expect(endpoint.running).to.equal(1)
    endpoint.finishAll()
    expect(await running).to.include({ outcome: Outcome.OUTCOME_ANSWERED })
  })

  it('keeps queued requests while the lease has expired for a short time, which a renewal usually ends', async () => {
    const { running, queued } = await sendTwo()
    rights.until = performance.now()
    await delay(100)
    rights.until = Infinity
    while (!session.grants.holds(-1, -1)) await delay(5)
    expect(session.queue.queued).to.equal(1)
    endpoint.finishAll()
    await running
    while (endpoint.running === 0) await delay(5)
    endpoint.finishAll()
    expect(await queued).to.include({ outcome: Outcome.OUTCOME_ANSWERED })
  })

  describe('while a former coordinator may still act', () => {
    beforeEach(async () => {
      view.takeoverEndsAt = undefined
      session = createSession((endpoint.server.address() as AddressInfo).port)
      session.start()
      while (session.grants.state !== 'waiting') await delay(5)
    })

    it('keeps requests that can run before their deadline, so that callers need not retry them', async () => {
      view.takeoverEndsAt = performance.now() + 200
      const waiting = send('waiting', 600)
      while (endpoint.running === 0) await delay(5)
      expect(performance.now()).to.be.at.least(view.takeoverEndsAt)
      endpoint.finishAll()
      expect(await waiting).to.include({ outcome: Outcome.OUTCOME_ANSWERED })
    })

    it('refuses requests at once when their deadline is earlier than the end of the takeover, or that end is unknown or far off, so that callers do not wait in vain', async () => {
      const startedAt = performance.now()
      expect(await send('unknown end')).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_unavailable' })
      view.takeoverEndsAt = startedAt + 10_000
      expect(await send('long wait')).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_unavailable' })
      view.takeoverEndsAt = startedAt + 600
      expect(await send('early deadline', 100)).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_unavailable' })
      expect(performance.now() - startedAt).to.be.below(500)
      expect(endpoint.running).to.equal(0)
    })
  })

  it('refuses queued requests at once when the endpoint knows a newer coordinator, so that callers do not wait in vain', async () => {
    const { queued } = await sendTwo()
    endpoint.fenced = true
    expect(await queued).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'not_coordinator' })
    expect(endpoint.running).to.equal(1)
  })
})
