import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import { ManualClock } from './clock.js'
import { TurnQueue } from './turn-queue.js'

describe('TurnQueue', () => {
  it('runs tasks in the order of their calls', async () => {
    const queue = new TurnQueue()
    const order: number[] = []
    await Promise.all([1, 2, 3, 4, 5].map(async task => {
      await queue.turn()
      order.push(task)
    }))
    expect(order).to.deep.equal([1, 2, 3, 4, 5])
    expect(queue.length).to.equal(0)
  })

  // Guards against connections that are not accepted after a restart, when every caller opens a new connection at the same time and
  // each request takes milliseconds.
  it('lets connections be accepted while tasks wait', async () => {
    const queue = new TurnQueue()
    const connections = 30
    const spinMilliseconds = 5
    let accepted = 0
    const acceptedWhenHandled: number[] = []
    const server = createServer(socket => {
      accepted++
      socket.on('error', () => {})
      void queue.turn().then(() => {
        const until = performance.now() + spinMilliseconds
        while (performance.now() < until) { /* the work of a request */ }
        acceptedWhenHandled.push(accepted)
        socket.destroy()
      })
    })
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const sockets = Array.from({ length: connections }, () => connect((server.address() as AddressInfo).port, '127.0.0.1').on('error', () => {}))
    await Promise.all(sockets.map(async socket => await once(socket, 'close')))
    server.close()
    // Once half of the requests have been handled, more than half of the connections must have been accepted.
    expect(acceptedWhenHandled[connections / 2]).to.be.at.least(connections / 2 + 1)
  })

  // Guards against requests that wait without limit while callers open connections faster than they are accepted.
  it('runs tasks for a third of the time at least while connections arrive without a pause', async () => {
    const clock = new ManualClock()
    const queue = new TurnQueue(clock)
    const iterationMilliseconds = 10
    const iterations = 300
    let ran = 0
    let ended = false
    const task = async (): Promise<void> => {
      await queue.turn()
      ran++
      if (!ended) void task()
    }
    for (let index = 0; index < 10; index++) void task()
    for (let iteration = 0; iteration < iterations; iteration++) {
      queue.connectionAccepted()
      await new Promise(resolve => setImmediate(resolve))
      clock.advance(iterationMilliseconds)
    }
    // Otherwise the tasks would occupy the event loop of all tests behind this one.
    ended = true
    // A pass of two tasks takes two iterations.
    expect(ran).to.be.at.least(iterations / 3 * 0.9)
  })
})

describe('TurnQueue of a VM that is short of processor time', () => {
  const longestWaitMilliseconds = 25
  const iterationMilliseconds = 1
  const taskMilliseconds = 4
  const refusalMilliseconds = 0.5
  const arrivalMilliseconds = 2.5
  const seconds = 5

  interface Outcome { readonly urgency: number, readonly ran: boolean, readonly waited: number }

  /** Simulates a VM that gets twice the requests that it has processor time for, a third of each urgency, and a connection in each iteration. */
  async function overload (): Promise<Outcome[]> {
    const clock = new ManualClock()
    const queue = new TurnQueue(clock)
    const outcomes: Outcome[] = []
    const arrive = async (urgency: number): Promise<void> => {
      const since = clock.now()
      const ran = await queue.turn({ urgency, longestWaitMilliseconds })
      outcomes.push({ urgency, ran, waited: clock.now() - since })
      clock.advance(ran ? taskMilliseconds : refusalMilliseconds)
    }
    let next = 0
    for (let arrivals = 0; clock.now() < 1_000 * seconds;) {
      queue.connectionAccepted()
      clock.advance(iterationMilliseconds)
      for (; next <= clock.now(); next += arrivalMilliseconds) void arrive(arrivals++ % 3)
      await new Promise(resolve => setImmediate(resolve))
    }
    return outcomes
  }

  // Guards against a full VM that keeps what it cannot serve, and is late with all that it serves (SHORT).
  it('runs the most urgent tasks in time, refuses the others at once, and uses its time', async () => {
    const outcomes = await overload()
    const ran = outcomes.filter(outcome => outcome.ran)
    const urgent = outcomes.filter(({ urgency }) => urgency === 0)
    expect(urgent.filter(outcome => outcome.ran).length).to.be.at.least(0.95 * urgent.length)
    // Waits are checked at the beginning of a pass, and refused tasks are told at the latest with the next one.
    const pass = 2 * (iterationMilliseconds + taskMilliseconds)
    expect(Math.max(...ran.map(({ waited }) => waited))).to.be.at.most(longestWaitMilliseconds + pass)
    expect(Math.max(...outcomes.map(({ waited }) => waited))).to.be.at.most(longestWaitMilliseconds + 2 * pass)
    expect(ran.length).to.be.at.least(0.8 * 1_000 * seconds / (iterationMilliseconds + taskMilliseconds))
  })

  it('refuses nothing when there is time for all', async () => {
    const queue = new TurnQueue()
    const results = await Promise.all(Array.from({ length: 20 }, async () => await queue.turn({ longestWaitMilliseconds: 1_000 })))
    expect(results.every(Boolean)).to.equal(true)
  })
})
