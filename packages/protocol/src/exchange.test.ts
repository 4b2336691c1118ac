import { expect } from 'chai'
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { LifeCycle, delay } from '@briarsaddle/common'
import { Answer, ControlHandler, Forward, FrameHandler, InnerServer, Outcome, PeerClient, PeerPool, type ConfirmResponse, type FetchJournalResponse, type FetchLoadsResponse, type FetchStateResponse, type HeartbeatRequest, type HeartbeatResponse, type Journal, type JournalAcknowledgement, type PeerClientOptions } from './index.js'

class TestFrameHandler extends FrameHandler {
  started = 0
  aborted = 0

  /** Runs for the number of milliseconds given as target; the body of the answer is the key. */
  async forward (forward: Forward, signal: AbortSignal): Promise<Answer> {
    this.started += 1
    signal.addEventListener('abort', () => { this.aborted += 1 })
    await delay(Number(forward.target), signal)
    const body = forward.method === 'LARGE' ? Buffer.alloc(100_000) : Buffer.from(forward.key)
    return Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200, body })
  }

  async journal (journal: Journal): Promise<JournalAcknowledgement> {
    if (journal.endpoint === 'broken') throw new Error('broken')
    return { id: 0, complete: true }
  }
}

class TestControlHandler extends ControlHandler {
  /** Number of heartbeats that arrived as frames, which do not carry the instance, and as calls. */
  readonly heartbeats = { frames: 0, calls: 0 }
  answersFrames = true

  async heartbeat (request: HeartbeatRequest): Promise<HeartbeatResponse> {
    this.heartbeats[request.instance === '' ? 'frames' : 'calls'] += 1
    if (request.instance === '' && !this.answersFrames) throw new Error('heartbeat frames are left unanswered by this test')
    return { vm: 'server', instance: request.instance, position: 7, leaving: false }
  }

  async confirm (): Promise<ConfirmResponse> { return { ready: true, position: 7, outdated: [], quietMilliseconds: [] } }
  async fetchState (): Promise<FetchStateResponse> { throw new Error('no state yet') }
  async fetchJournal (): Promise<FetchJournalResponse> { return { knownMilliseconds: 0, entries: [], imports: [], notReady: false } }
  async fetchLoads (): Promise<FetchLoadsResponse> { return { loads: [] } }
}

/** TCP relay that can stop passing bytes on its open connections, or close them. */
class Relay {
  readonly #server: Server
  readonly #sockets: Socket[] = []
  accepted = 0

  constructor (targetPort: number) {
    this.#server = createServer(socket => {
      this.accepted++
      const upstream = connect(targetPort, '127.0.0.1')
      this.#sockets.push(socket, upstream)
      for (const end of [socket, upstream]) end.on('error', () => {})
      socket.pipe(upstream).pipe(socket)
    })
  }

  async listen (): Promise<number> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return (this.#server.address() as AddressInfo).port
  }

  silence (): void {
    for (const socket of this.#sockets) socket.unpipe().pause()
  }

  cut (): void {
    for (const socket of this.#sockets.splice(0)) socket.destroy()
  }

  close (): void {
    this.cut()
    this.#server.close()
  }
}

function forward (fields: Partial<Forward>): Forward {
  return { ...Forward.create({ target: '0', deadlineMilliseconds: 2_000 }), ...fields }
}

describe('Exchange', () => {
  let frames: TestFrameHandler
  let control: TestControlHandler
  let server: InnerServer
  let relay: Relay
  let relayPort: number
  let clients: PeerClient[]

  beforeEach(async () => {
    clients = []
    frames = new TestFrameHandler()
    control = new TestControlHandler()
    server = new InnerServer({ host: '127.0.0.1', port: 0, maximumMessageBytes: 50_000 }, frames, control)
    relay = new Relay(await server.listen())
    relayPort = await relay.listen()
  })

  afterEach(async () => {
    for (const client of clients) client.close()
    relay.close()
    await server.stop(0)
  })

  async function connectClient (options: PeerClientOptions = {}): Promise<PeerClient> {
    const client = new PeerClient(`127.0.0.1:${relayPort}`, { maximumMessageBytes: 50_000, ...options })
    clients.push(client)
    await client.forward(forward({}))
    return client
  }

  async function waitUntil (condition: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 200 && !condition(); attempt++) await delay(10)
    expect(condition()).to.equal(true)
  }

  it('gives each request its own answer when answers come out of order (crossed answers)', async () => {
    const client = await connectClient()
    const answers = await Promise.all(Array.from({ length: 200 }, async (_, index) => await client.forward(forward({ id: 9, key: `key-${index}`, target: String((index * 7) % 40) }))))
    expect(answers.map(answer => answer.body.toString())).to.deep.equal(answers.map((_, index) => `key-${index}`))
    expect(answers.every(answer => answer.id === 9)).to.equal(true)
  })

  it('drops a late answer instead of giving it to a later request (crossed answers)', async () => {
    const client = await connectClient()
    const late = await client.forward(forward({ key: 'late', target: '60', deadlineMilliseconds: 20 }))
    expect(late).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'deadline_exceeded' })
    const next = await client.forward(forward({ key: 'next', target: '100' }))
    expect(next.body.toString()).to.equal('next')
  })

  it('reports UNKNOWN, never NOT_RUN, when the stream breaks after the write (broken stream after write)', async () => {
    const client = await connectClient()
    const running = client.forward(forward({ target: '1000' }))
    await waitUntil(() => frames.started === 2)
    relay.cut()
    expect(await running).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'peer_lost' })
    await waitUntil(() => frames.aborted === 1)
    await waitUntil(() => client.connected)
    expect(await client.forward(forward({ key: 'again' }))).to.include({ outcome: Outcome.OUTCOME_ANSWERED })
  })

  it('reports NOT_RUN at once when there is no connection (requests that wait for a lost peer)', async () => {
    const client = new PeerClient('127.0.0.1:1')
    clients.push(client)
    expect(await client.forward(forward({}))).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'peer_unreachable' })
    const startedAt = performance.now()
    expect(await client.forward(forward({}))).to.include({ reason: 'peer_unreachable' })
    expect(performance.now() - startedAt).to.be.lessThan(20)
  })

  // Guards against endless reconnecting on a VM that is short of processor time, for example one with a third of a core that
  // connects to dozens of peers: event loop delays exceed the connect timeout, so each attempt is given up before it is handled.
  it('completes a connection attempt after an event loop delay that exceeds the connect timeout (endless reconnecting)', async () => {
    const client = new PeerClient(`127.0.0.1:${relayPort}`, { connectTimeoutMilliseconds: 60 })
    clients.push(client)
    const blockedUntil = performance.now() + 150
    while (performance.now() < blockedUntil);
    await waitUntil(() => client.connected)
    expect(relay.accepted).to.equal(1)
  })

  it('aborts the handler when the caller cancels (work whose result nobody uses)', async () => {
    const client = await connectClient()
    const controller = new AbortController()
    const running = client.forward(forward({ target: '1000' }), controller.signal)
    await waitUntil(() => frames.started === 2)
    controller.abort()
    expect(await running).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'cancelled' })
    await waitUntil(() => frames.aborted === 1)
  })

  it('replaces a stream on which nothing arrives and ends its requests as UNKNOWN (open connection without traffic)', async () => {
    const client = await connectClient({ silenceMilliseconds: 50 })
    const other = client.forward(forward({ target: '5000', deadlineMilliseconds: 10_000 }))
    await waitUntil(() => frames.started === 2)
    relay.silence()
    expect(await client.forward(forward({ deadlineMilliseconds: 100 }))).to.include({ outcome: Outcome.OUTCOME_UNKNOWN })
    expect(await other).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'peer_lost' })
    await waitUntil(() => client.connected)
    expect(await client.forward(forward({}))).to.include({ outcome: Outcome.OUTCOME_ANSWERED })
  })

  it('reaches the peer over a new connection while the old one is silent (broken connection taken for a failed peer)', async () => {
    const client = await connectClient()
    relay.silence()
    const request = { vm: 'client', instance: 'i', position: 1 }
    const error = await client.heartbeat(request, 100).catch((thrown: unknown) => thrown)
    expect(error).to.include({ code: 'peer_timeout', step: 'heartbeat' })
    expect(await client.freshHeartbeat(request, 1_000)).to.deep.include({ vm: 'server', instance: 'i' })
  })

  it('sends heartbeats as frames, and as calls only after an unanswered frame (a call for each heartbeat; peer without this frame taken for failed)', async () => {
    const client = await connectClient()
    const request = { vm: 'client', instance: 'i', position: 1 }
    for (let count = 0; count < 3; count++) expect(await client.heartbeat(request, 1_000)).to.include({ leaving: false })
    expect(control.heartbeats).to.deep.equal({ frames: 3, calls: 0 })
    control.answersFrames = false
    expect(await client.heartbeat(request, 50).catch((thrown: unknown) => thrown)).to.include({ code: 'peer_timeout', step: 'heartbeat' })
    expect(await client.heartbeat(request, 1_000)).to.include({ leaving: false })
    expect(control.heartbeats).to.deep.equal({ frames: 4, calls: 1 })
  })

  it('answers heartbeats on the stream while it finishes requests (draining VM taken for a failed one)', async () => {
    const client = await connectClient()
    const running = client.forward(forward({ target: '150' }))
    await waitUntil(() => frames.started === 2)
    const heartbeat = client.heartbeat({ vm: 'client', instance: 'i', position: 1 }, 1_000)
    const stopped = server.stop(5_000)
    expect(await heartbeat).to.include({ leaving: false })
    await running
    await stopped
  })

  it('reports the time since the last frame only while the stream is open (failed peer taken for a live one)', async () => {
    const client = await connectClient()
    await delay(30)
    const before = client.silentMilliseconds
    expect(before).to.be.greaterThan(20)
    await client.heartbeat({ vm: 'client', instance: 'i', position: 1 }, 1_000)
    expect(client.silentMilliseconds).to.be.lessThan(before)
    client.close()
    expect(client.silentMilliseconds).to.equal(Infinity)
  })

  it('refuses requests beyond the limit of waiting frames without writing them (unbounded memory)', async () => {
    const client = await connectClient({ maximumWaitingFrames: 10 })
    const answers = await Promise.all(Array.from({ length: 500 }, async () => await client.forward(forward({ target: '20' }))))
    const refused = answers.filter(answer => answer.reason === 'peer_congested')
    expect(refused.length).to.be.greaterThan(0)
    expect(refused.every(answer => answer.outcome === Outcome.OUTCOME_NOT_RUN)).to.equal(true)
    expect(frames.started).to.equal(1 + 500 - refused.length)
  })

  it('keeps the stream when a request or an answer exceeds the message limit (other requests fail with the stream)', async () => {
    const client = await connectClient()
    const other = client.forward(forward({ target: '100' }))
    expect(await client.forward(forward({ body: Buffer.alloc(60_000) }))).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'request_too_large' })
    expect(await client.forward(forward({ method: 'LARGE' }))).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'answer_too_large' })
    expect(await other).to.include({ outcome: Outcome.OUTCOME_ANSWERED })
  })

  it('finishes requests in flight on a graceful shutdown (interrupted requests)', async () => {
    const client = await connectClient()
    const running = client.forward(forward({ key: 'kept', target: '150' }))
    await waitUntil(() => frames.started === 2)
    const stopped = server.stop(5_000)
    const crossing = client.forward(forward({}))
    expect((await running).body.toString()).to.equal('kept')
    expect(await crossing).to.include({ outcome: Outcome.OUTCOME_NOT_RUN })
    await stopped
    expect(frames.aborted).to.equal(0)
  })

  it('aborts requests that outlast the grace period of a shutdown (shutdown that never ends)', async () => {
    const client = await connectClient()
    const running = client.forward(forward({ target: '5000', deadlineMilliseconds: 10_000 }))
    await waitUntil(() => frames.started === 2)
    await server.stop(50)
    expect(await running).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'peer_lost' })
    expect(frames.aborted).to.equal(1)
  })

  it('distinguishes acknowledged, unacknowledged and unsent journal entries (lost entry taken for a stored one)', async () => {
    const client = await connectClient()
    const journal = { id: 5, endpoint: 'e', token: 1, sequence: 1, entry: undefined, knownMilliseconds: 0, imports: [] }
    expect(await client.journal(journal, 1_000)).to.deep.equal({ id: 5, complete: true })
    const unacknowledged = await client.journal({ ...journal, endpoint: 'broken' }, 50).catch((thrown: unknown) => thrown)
    expect(unacknowledged).to.include({ code: 'journal_unacknowledged' })
    client.close()
    expect(await client.journal(journal, 50).catch((thrown: unknown) => thrown)).to.include({ code: 'peer_unreachable' })
  })

  it('reports a refused control call with its message (refusal taken for a failed peer)', async () => {
    const client = await connectClient()
    const error = await client.fetchState(1_000).catch((thrown: unknown) => thrown)
    expect(error).to.include({ code: 'peer_refused' })
    expect(error).to.have.property('message').that.contains('no state yet')
  })

  it('connects to a peer when it is first used and closes the connection when it is idle (a connection of every VM to every other)', async () => {
    const lifeCycle = new LifeCycle('test')
    const pool = new PeerPool(lifeCycle, { idleMilliseconds: 200 })
    pool.update([{ vm: 'a', host: '127.0.0.1', port: relayPort }, { vm: 'b', host: '127.0.0.1', port: relayPort }])
    expect(pool.clients).to.equal(0)
    const running = pool.forward('a', forward({ key: 'slow', target: '500' }), lifeCycle.signal)
    await waitUntil(() => frames.started === 1)
    expect(pool.clients).to.equal(1)
    expect((await running).body.toString(), 'a request that takes longer than the idle time').to.equal('slow')
    await waitUntil(() => pool.clients === 0)
    expect((await pool.forward('a', forward({ key: 'again' }), lifeCycle.signal)).body.toString()).to.equal('again')
    await lifeCycle.close()
  })

  it('finishes requests to a peer that was removed from the list (requests lost on a list change)', async () => {
    const lifeCycle = new LifeCycle('test')
    const pool = new PeerPool(lifeCycle)
    pool.update([{ vm: 'a', host: '127.0.0.1', port: relayPort }])
    const running = pool.forward('a', forward({ key: 'kept', target: '100' }), lifeCycle.signal)
    await waitUntil(() => frames.started === 1)
    pool.update([])
    expect((await running).body.toString()).to.equal('kept')
    expect(await pool.forward('a', forward({}), lifeCycle.signal)).to.include({ reason: 'peer_unreachable' })
    await lifeCycle.close()
  })
})
