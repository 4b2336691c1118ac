import { BriarsaddleError, ManualClock, Random, delay } from '@briarsaddle/common'
import { expect } from 'chai'
import { EndpointQueue, type EndpointQueueOptions } from './endpoint-queue.js'
import { ClassPolicy, FifoPolicy } from './queue-policy.js'
import type { RefusalError } from './refusal.js'
import type { ServiceClass } from './service-class.js'

interface Submission {
  readonly name: string
  readonly answer: Promise<unknown>
  readonly abort: () => void
}

/** A queue whose jobs have names and run until the test ends them. */
class Bench {
  readonly clock = new ManualClock()
  readonly order: string[] = []
  readonly queue: EndpointQueue
  readonly #endings = new Map<string, () => void>()

  constructor (options: Partial<EndpointQueueOptions> = {}) {
    this.queue = new EndpointQueue({ slots: 2, maximumQueued: 10, clock: this.clock, random: new Random(1), policy: new ClassPolicy(), ...options })
  }

  submit (name: string, serviceClass: ServiceClass = 'normal', rule = 1, deadlineIn = 60_000): Submission {
    const controller = new AbortController()
    const run = async (): Promise<string> => {
      this.order.push(name)
      await new Promise<void>(resolve => this.#endings.set(name, resolve))
      return name
    }
    const answer = this.queue.submit({ serviceClass, rule, deadlineAt: this.clock.now() + deadlineIn, signal: controller.signal, run })
    const outcome = answer.catch((error: unknown) => error)
    return { name, answer: outcome, abort: () => controller.abort() }
  }

  async end (name: string): Promise<void> {
    this.#endings.get(name)?.()
    await delay(0)
  }

  /** Runs one job of the rule for the given time, so that the queue observes its running time. */
  async observe (rule: number, milliseconds: number): Promise<void> {
    this.submit('observed', 'normal', rule)
    this.clock.advance(milliseconds)
    await this.end('observed')
    this.order.pop()
  }
}

async function codeOf (submission: Submission): Promise<string> {
  const error = await submission.answer
  expect(error).to.be.instanceOf(BriarsaddleError)
  expect(error).to.have.property('retryAfterMilliseconds').that.is.greaterThan(0)
  return (error as RefusalError).code
}

describe('EndpointQueue', () => {
  // Guards against unknown outcomes: running times vary, so a job that starts with little more than the mean running time left is
  // often aborted at its deadline.
  it('does not start a queued job when too little time is left for running longer than the mean', async () => {
    const bench = new Bench({ slots: 1 })
    await bench.observe(1, 100)
    bench.submit('running')
    const waiting = bench.submit('waiting', 'normal', 1, 400)
    bench.clock.advance(130)
    await bench.end('running')
    expect(await codeOf(waiting)).to.equal('expired_in_queue')
    expect(bench.order).to.deep.equal(['running'])
  })

  it('refuses a job that would finish before its deadline only if it ran no longer than the mean', async () => {
    const bench = new Bench({ slots: 1 })
    await bench.observe(1, 100)
    for (const name of ['running', 'first', 'second', 'third']) bench.submit(name)
    expect(await codeOf(bench.submit('refused', 'normal', 1, 600))).to.equal('deadline_unreachable')
    bench.submit('admitted', 'normal', 1, 1_000)
    expect(bench.queue.queued).to.equal(4)
  })

  // Guards against admitting jobs that mostly expire in the queue after a long wait, or are aborted at their deadline and have
  // wasted a slot.
  it('refuses a job that would finish in time only if the jobs before it ran no longer than the mean', async () => {
    const bench = new Bench({ slots: 1 })
    await bench.observe(1, 100)
    const deadlineIn = 800
    for (const name of ['running', 'first']) bench.submit(name)
    bench.submit('admitted', 'normal', 1, deadlineIn)
    expect(bench.queue.queued).to.equal(2)
    bench.submit('third')
    expect(await codeOf(bench.submit('refused', 'normal', 1, deadlineIn))).to.equal('deadline_unreachable')
  })

  // Guards against refusals missing from the state dump when a caller calls `refuse` instead of `submit`.
  it('counts each refusal by refuse or submit once, and none by refusalFor', async () => {
    const bench = new Bench({ slots: 1, maximumQueued: 1 })
    const job = { serviceClass: 'normal', rule: 1, deadlineAt: 1e6, signal: new AbortController().signal } as const
    expect(bench.queue.refuse(job)).to.equal(undefined)
    bench.submit('running')
    bench.submit('waiting')
    expect(bench.queue.refusalFor(job)?.code).to.equal('queue_full')
    expect(bench.queue.refuse(job)?.code).to.equal('queue_full')
    expect(await codeOf(bench.submit('refused'))).to.equal('queue_full')
    expect(bench.queue.snapshot().refused.queue_full).to.equal(2)
  })

  it('never runs more jobs than slots, also when the slots change or are busy with jobs of a former coordinator', async () => {
    const bench = new Bench()
    for (const name of ['a', 'b', 'c', 'd']) bench.submit(name)
    expect([bench.queue.running, bench.queue.queued, bench.queue.outstanding]).to.deep.equal([2, 2, 4])
    bench.queue.setForeignRunning(2)
    await bench.end('a')
    await bench.end('b')
    expect(bench.order).to.deep.equal(['a', 'b'])
    bench.queue.setForeignRunning(1)
    expect(bench.order).to.deep.equal(['a', 'b', 'c'])
    bench.queue.setSlots(3)
    expect(bench.order).to.deep.equal(['a', 'b', 'c', 'd'])
  })

  it('starts prompt before normal before long jobs, so that short urgent jobs do not wait for long ones', async () => {
    const bench = new Bench({ slots: 1 })
    bench.submit('running')
    bench.submit('long', 'long')
    bench.submit('normal')
    bench.submit('prompt', 'prompt')
    for (const name of ['running', 'prompt', 'normal']) await bench.end(name)
    expect(bench.order).to.deep.equal(['running', 'prompt', 'normal', 'long'])
  })

  it('keeps one slot free of long jobs, so that they never occupy all slots', async () => {
    const bench = new Bench()
    bench.submit('long 1', 'long')
    bench.submit('long 2', 'long')
    expect(bench.order).to.deep.equal(['long 1'])
    bench.submit('normal')
    expect(bench.order).to.deep.equal(['long 1', 'normal'])
    await bench.end('normal')
    expect(bench.queue.running).to.equal(1)
    await bench.end('long 1')
    expect(bench.order).to.deep.equal(['long 1', 'normal', 'long 2'])
  })

  it('delays long jobs for a bounded time only, so that they wait for a move of buckets but never starve', async () => {
    const bench = new Bench()
    bench.queue.holdLong(bench.clock.now() + 30)
    bench.submit('long', 'long')
    bench.submit('normal')
    expect(bench.order).to.deep.equal(['normal'])
    bench.clock.advance(30)
    await delay(50)
    expect(bench.order).to.deep.equal(['normal', 'long'])
  })

  it('starts delayed long jobs as soon as the delay is cancelled', () => {
    const bench = new Bench()
    bench.queue.holdLong(bench.clock.now() + 60_000)
    bench.submit('long', 'long')
    bench.queue.holdLong(-Infinity)
    expect(bench.order).to.deep.equal(['long'])
  })

  it('refuses a long job immediately when the delay of long jobs lasts beyond its deadline', async () => {
    const bench = new Bench()
    bench.queue.holdLong(bench.clock.now() + 1000)
    expect(await codeOf(bench.submit('late', 'long', 1, 500))).to.equal('deadline_unreachable')
  })

  it('starts queued normal and long jobs after a bounded number of more urgent jobs, so that no class starves', async () => {
    const bench = new Bench({ slots: 1, maximumQueued: 100, policy: new ClassPolicy({ normalTurnAfter: 3, longTurnAfter: 6 }) })
    bench.submit('running')
    bench.submit('long', 'long')
    bench.submit('normal')
    for (let index = 0; index < 20; index++) bench.submit(`prompt ${index}`, 'prompt')
    for (let index = 0; index < 10; index++) await bench.end(bench.order.at(-1) as string)
    expect(bench.order.indexOf('normal')).to.equal(4)
    expect(bench.order.indexOf('long')).to.be.within(5, 8)
  })

  it('refuses normal jobs before the queue is full, so that it still admits prompt jobs', async () => {
    const bench = new Bench()
    const normal = Array.from({ length: 14 }, (_, index) => bench.submit(`normal ${index}`))
    expect(bench.queue.queued).to.equal(8)
    expect(await codeOf(normal.at(-1) as Submission)).to.equal('queue_full')
    bench.submit('prompt 1', 'prompt')
    bench.submit('prompt 2', 'prompt')
    expect(bench.queue.queued).to.equal(10)
    expect(await codeOf(bench.submit('prompt 3', 'prompt'))).to.equal('queue_full')
  })

  it('removes cancelled jobs from the queue immediately, so that they do not run and their places are free', async () => {
    const bench = new Bench()
    const jobs = ['a', 'b', 'c', 'd'].map(name => bench.submit(name))
    jobs[2]?.abort()
    expect(bench.queue.queued).to.equal(1)
    expect(await codeOf(jobs[2] as Submission)).to.equal('cancelled_in_queue')
    await bench.end('a')
    expect(bench.order).to.deep.equal(['a', 'b', 'd'])
  })

  it('rejects an expired job before it is dequeued and never runs it', async () => {
    const bench = new Bench({ slots: 1 })
    bench.submit('running')
    const late = bench.submit('late', 'normal', 1, 20)
    bench.clock.advance(21)
    expect(await codeOf(late)).to.equal('expired_in_queue')
    await bench.end('running')
    expect(bench.order).to.deep.equal(['running'])
  })

  it('skips jobs that have expired when they are dequeued, without leaving the slot idle', async () => {
    const bench = new Bench({ slots: 1 })
    bench.submit('running')
    const late = bench.submit('late', 'normal', 1, 20)
    bench.submit('next')
    bench.clock.advance(21)
    await bench.end('running')
    expect(bench.order).to.deep.equal(['running', 'next'])
    expect(await codeOf(late)).to.equal('expired_in_queue')
  })

  it('refuses a job immediately that cannot be answered before its deadline, unless admission is off', async () => {
    for (const admission of [true, false]) {
      const bench = new Bench({ slots: 1, admission })
      for (let index = 0; index < 10; index++) await bench.observe(1, 100)
      bench.submit('running')
      bench.submit('queued')
      const hopeless = bench.submit('hopeless', 'normal', 1, 150)
      expect(bench.queue.queued).to.equal(admission ? 1 : 2)
      if (admission) expect(await codeOf(hopeless)).to.equal('deadline_unreachable')
    }
  })

  it('admits jobs of a rule again when its estimate is old, so that one slow period does not exclude the rule for good', async () => {
    const bench = new Bench({ slots: 1 })
    for (let index = 0; index < 10; index++) await bench.observe(1, 1000)
    for (let index = 0; index < 10; index++) await bench.observe(2, 10)
    bench.submit('running', 'normal', 2)
    expect(await codeOf(bench.submit('fresh', 'normal', 1, 500))).to.equal('deadline_unreachable')
    bench.clock.advance(6000)
    bench.submit('stale', 'normal', 1, 500)
    expect(bench.queue.queued).to.equal(1)
  })

  it('treats a rule as long while its jobs run many times longer than others, so that they cannot occupy all slots', async () => {
    const bench = new Bench()
    for (let index = 0; index < 60; index++) await bench.observe(1, 10)
    for (let index = 0; index < 10; index++) await bench.observe(2, 500)
    for (const name of ['a', 'b']) bench.submit(name, 'normal', 2)
    expect(bench.order).to.deep.equal(['a'])
    await bench.end('a')
    await bench.end('b')
    for (let index = 0; index < 60; index++) await bench.observe(2, 10)
    bench.order.length = 0
    for (const name of ['c', 'd']) bench.submit(name, 'normal', 2)
    expect(bench.order).to.deep.equal(['c', 'd'])
  })

  it('spreads Retry-After from half to one and a half times the drain time, so that callers do not retry at the same time', async () => {
    const bench = new Bench({ slots: 1, maximumQueued: 0 })
    for (let index = 0; index < 10; index++) await bench.observe(1, 1000)
    bench.submit('running')
    const { signal } = new AbortController()
    const times = Array.from({ length: 200 }, () =>
      bench.queue.refusalFor({ serviceClass: 'normal', rule: 1, deadlineAt: 1e6, signal })?.retryAfterMilliseconds as number)
    expect(Math.min(...times)).to.be.within(500, 600)
    expect(Math.max(...times)).to.be.within(1400, 1500)
  })

  it('rejects all queued jobs when the endpoint is lost, but does not abort running jobs', async () => {
    const bench = new Bench({ slots: 1 })
    const running = bench.submit('running')
    const queued = [bench.submit('a'), bench.submit('b', 'prompt')]
    const lost = (): BriarsaddleError => new BriarsaddleError('The endpoint is lost', { code: 'endpoint_lost', step: 'queue request' })
    expect(bench.queue.remove(lost)).to.equal(2)
    for (const { answer } of queued) expect(await answer).to.have.property('code', 'endpoint_lost')
    await bench.end('running')
    expect(await running.answer).to.equal('running')
    expect(bench.queue.outstanding).to.equal(0)
  })

  it('refuses new jobs while draining and still runs queued jobs', async () => {
    const bench = new Bench({ slots: 1 })
    bench.submit('a')
    bench.submit('b')
    bench.queue.setDraining(true)
    expect(await codeOf(bench.submit('c'))).to.equal('draining')
    await bench.end('a')
    expect(bench.order).to.deep.equal(['a', 'b'])
  })

  it('keeps the order of arrival with FifoPolicy, the baseline', async () => {
    const bench = new Bench({ slots: 1, policy: new FifoPolicy() })
    bench.submit('a', 'long')
    bench.submit('b', 'long')
    bench.submit('c', 'prompt')
    await bench.end('a')
    expect(bench.order).to.deep.equal(['a', 'b'])
  })

  it('rejects with the error of a failing job and frees its slot, also when the job throws synchronously', async () => {
    const bench = new Bench({ slots: 1 })
    const failing = bench.queue.submit({ serviceClass: 'normal', rule: 1, deadlineAt: 1000, signal: new AbortController().signal, run: () => { throw new Error('boom') } })
    expect(await failing.catch((error: Error) => error.message)).to.equal('boom')
    bench.submit('next')
    await delay(0)
    expect(bench.order).to.deep.equal(['next'])
  })
})
