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
class QueueHarness {
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
    const harness = new QueueHarness({ slots: 1 })
    await harness.observe(1, 100)
    harness.submit('running')
    const waiting = harness.submit('waiting', 'normal', 1, 400)
    harness.clock.advance(130)
    await harness.end('running')
    expect(await codeOf(waiting)).to.equal('expired_in_queue')
    expect(harness.order).to.deep.equal(['running'])
  })

  it('refuses a job that would finish before its deadline only if it ran no longer than the mean', async () => {
    const harness = new QueueHarness({ slots: 1 })
    await harness.observe(1, 100)
    for (const name of ['running', 'first', 'second', 'third']) harness.submit(name)
    expect(await codeOf(harness.submit('refused', 'normal', 1, 600))).to.equal('deadline_unreachable')
    harness.submit('admitted', 'normal', 1, 1_000)
    expect(harness.queue.queued).to.equal(4)
  })

  // Guards against admitting jobs that mostly expire in the queue after a long wait, or are aborted at their deadline and have
  // wasted a slot.
  it('refuses a job that would finish in time only if the jobs before it ran no longer than the mean', async () => {
    const harness = new QueueHarness({ slots: 1 })
    await harness.observe(1, 100)
    const deadlineIn = 800
    for (const name of ['running', 'first']) harness.submit(name)
    harness.submit('admitted', 'normal', 1, deadlineIn)
    expect(harness.queue.queued).to.equal(2)
    harness.submit('third')
    expect(await codeOf(harness.submit('refused', 'normal', 1, deadlineIn))).to.equal('deadline_unreachable')
  })

  // Guards against refusals missing from the state dump when a caller calls `refuse` instead of `submit`.
  it('counts each refusal by refuse or submit once, and none by refusalFor', async () => {
    const harness = new QueueHarness({ slots: 1, maximumQueued: 1 })
    const job = { serviceClass: 'normal', rule: 1, deadlineAt: 1e6, signal: new AbortController().signal } as const
    expect(harness.queue.refuseIfNotAdmitted(job)).to.equal(undefined)
    harness.submit('running')
    harness.submit('waiting')
    expect(harness.queue.refusalFor(job)?.code).to.equal('queue_full')
    expect(harness.queue.refuseIfNotAdmitted(job)?.code).to.equal('queue_full')
    expect(await codeOf(harness.submit('refused'))).to.equal('queue_full')
    expect(harness.queue.snapshot().refused.queue_full).to.equal(2)
  })

  it('never runs more jobs than slots, also when the slots change or are busy with jobs of a former coordinator', async () => {
    const harness = new QueueHarness()
    for (const name of ['a', 'b', 'c', 'd']) harness.submit(name)
    expect([harness.queue.running, harness.queue.queued, harness.queue.outstanding]).to.deep.equal([2, 2, 4])
    harness.queue.setForeignRunning(2)
    await harness.end('a')
    await harness.end('b')
    expect(harness.order).to.deep.equal(['a', 'b'])
    harness.queue.setForeignRunning(1)
    expect(harness.order).to.deep.equal(['a', 'b', 'c'])
    harness.queue.setSlots(3)
    expect(harness.order).to.deep.equal(['a', 'b', 'c', 'd'])
  })

  it('starts prompt before normal before long jobs, so that short urgent jobs do not wait for long ones', async () => {
    const harness = new QueueHarness({ slots: 1 })
    harness.submit('running')
    harness.submit('long', 'long')
    harness.submit('normal')
    harness.submit('prompt', 'prompt')
    for (const name of ['running', 'prompt', 'normal']) await harness.end(name)
    expect(harness.order).to.deep.equal(['running', 'prompt', 'normal', 'long'])
  })

  it('keeps one slot free of long jobs, so that they never occupy all slots', async () => {
    const harness = new QueueHarness()
    harness.submit('long 1', 'long')
    harness.submit('long 2', 'long')
    expect(harness.order).to.deep.equal(['long 1'])
    harness.submit('normal')
    expect(harness.order).to.deep.equal(['long 1', 'normal'])
    await harness.end('normal')
    expect(harness.queue.running).to.equal(1)
    await harness.end('long 1')
    expect(harness.order).to.deep.equal(['long 1', 'normal', 'long 2'])
  })

  it('delays long jobs for a bounded time only, so that they wait for a move of buckets but never starve', async () => {
    const harness = new QueueHarness()
    harness.queue.delayLongJobs(harness.clock.now() + 30)
    harness.submit('long', 'long')
    harness.submit('normal')
    expect(harness.order).to.deep.equal(['normal'])
    harness.clock.advance(30)
    await delay(50)
    expect(harness.order).to.deep.equal(['normal', 'long'])
  })

  it('starts delayed long jobs as soon as the delay is cancelled', () => {
    const harness = new QueueHarness()
    harness.queue.delayLongJobs(harness.clock.now() + 60_000)
    harness.submit('long', 'long')
    harness.queue.delayLongJobs(-Infinity)
    expect(harness.order).to.deep.equal(['long'])
  })

  it('refuses a long job immediately when the delay of long jobs lasts beyond its deadline', async () => {
    const harness = new QueueHarness()
    harness.queue.delayLongJobs(harness.clock.now() + 1000)
    expect(await codeOf(harness.submit('late', 'long', 1, 500))).to.equal('deadline_unreachable')
  })

  it('starts queued normal and long jobs after a bounded number of more urgent jobs, so that no class starves', async () => {
    const harness = new QueueHarness({ slots: 1, maximumQueued: 100, policy: new ClassPolicy({ normalTurnAfter: 3, longTurnAfter: 6 }) })
    harness.submit('running')
    harness.submit('long', 'long')
    harness.submit('normal')
    for (let index = 0; index < 20; index++) harness.submit(`prompt ${index}`, 'prompt')
    for (let index = 0; index < 10; index++) await harness.end(harness.order.at(-1) as string)
    expect(harness.order.indexOf('normal')).to.equal(4)
    expect(harness.order.indexOf('long')).to.be.within(5, 8)
  })

  it('refuses normal jobs before the queue is full, so that it still admits prompt jobs', async () => {
    const harness = new QueueHarness()
    const normal = Array.from({ length: 14 }, (_, index) => harness.submit(`normal ${index}`))
    expect(harness.queue.queued).to.equal(8)
    expect(await codeOf(normal.at(-1) as Submission)).to.equal('queue_full')
    harness.submit('prompt 1', 'prompt')
    harness.submit('prompt 2', 'prompt')
    expect(harness.queue.queued).to.equal(10)
    expect(await codeOf(harness.submit('prompt 3', 'prompt'))).to.equal('queue_full')
  })

  it('removes cancelled jobs from the queue immediately, so that they do not run and their places are free', async () => {
    const harness = new QueueHarness()
    const jobs = ['a', 'b', 'c', 'd'].map(name => harness.submit(name))
    jobs[2]?.abort()
    expect(harness.queue.queued).to.equal(1)
    expect(await codeOf(jobs[2] as Submission)).to.equal('cancelled_in_queue')
    await harness.end('a')
    expect(harness.order).to.deep.equal(['a', 'b', 'd'])
  })

  it('rejects an expired job before it is dequeued and never runs it', async () => {
    const harness = new QueueHarness({ slots: 1 })
    harness.submit('running')
    const late = harness.submit('late', 'normal', 1, 20)
    harness.clock.advance(21)
    expect(await codeOf(late)).to.equal('expired_in_queue')
    await harness.end('running')
    expect(harness.order).to.deep.equal(['running'])
  })

  it('skips jobs that have expired when they are dequeued, without leaving the slot idle', async () => {
    const harness = new QueueHarness({ slots: 1 })
    harness.submit('running')
    const late = harness.submit('late', 'normal', 1, 20)
    harness.submit('next')
    harness.clock.advance(21)
    await harness.end('running')
    expect(harness.order).to.deep.equal(['running', 'next'])
    expect(await codeOf(late)).to.equal('expired_in_queue')
  })

  it('refuses a job immediately that cannot be answered before its deadline, unless admission is off', async () => {
    for (const admission of [true, false]) {
      const harness = new QueueHarness({ slots: 1, admission })
      for (let index = 0; index < 10; index++) await harness.observe(1, 100)
      harness.submit('running')
      harness.submit('queued')
      const hopeless = harness.submit('hopeless', 'normal', 1, 150)
      expect(harness.queue.queued).to.equal(admission ? 1 : 2)
      if (admission) expect(await codeOf(hopeless)).to.equal('deadline_unreachable')
    }
  })

  it('admits jobs of a rule again when its estimate is old, so that one slow period does not exclude the rule for good', async () => {
    const harness = new QueueHarness({ slots: 1 })
    for (let index = 0; index < 10; index++) await harness.observe(1, 1000)
    for (let index = 0; index < 10; index++) await harness.observe(2, 10)
    harness.submit('running', 'normal', 2)
    expect(await codeOf(harness.submit('fresh', 'normal', 1, 500))).to.equal('deadline_unreachable')
    harness.clock.advance(6000)
    harness.submit('stale', 'normal', 1, 500)
    expect(harness.queue.queued).to.equal(1)
  })

  it('treats a rule as long while its jobs run many times longer than others, so that they cannot occupy all slots', async () => {
    const harness = new QueueHarness()
    for (let index = 0; index < 60; index++) await harness.observe(1, 10)
    for (let index = 0; index < 10; index++) await harness.observe(2, 500)
    for (const name of ['a', 'b']) harness.submit(name, 'normal', 2)
    expect(harness.order).to.deep.equal(['a'])
    await harness.end('a')
    await harness.end('b')
    for (let index = 0; index < 60; index++) await harness.observe(2, 10)
    harness.order.length = 0
    for (const name of ['c', 'd']) harness.submit(name, 'normal', 2)
    expect(harness.order).to.deep.equal(['c', 'd'])
  })

  it('spreads Retry-After from half to one and a half times the drain time, so that callers do not retry at the same time', async () => {
    const harness = new QueueHarness({ slots: 1, maximumQueued: 0 })
    for (let index = 0; index < 10; index++) await harness.observe(1, 1000)
    harness.submit('running')
    const { signal } = new AbortController()
    const times = Array.from({ length: 200 }, () =>
      harness.queue.refusalFor({ serviceClass: 'normal', rule: 1, deadlineAt: 1e6, signal })?.retryAfterMilliseconds as number)
    expect(Math.min(...times)).to.be.within(500, 600)
    expect(Math.max(...times)).to.be.within(1400, 1500)
  })

  it('rejects all queued jobs when the endpoint is lost, but does not abort running jobs', async () => {
    const harness = new QueueHarness({ slots: 1 })
    const running = harness.submit('running')
    const queued = [harness.submit('a'), harness.submit('b', 'prompt')]
    const lost = (): BriarsaddleError => new BriarsaddleError('The endpoint is lost', { code: 'endpoint_lost', step: 'queue request' })
    expect(harness.queue.rejectQueued(lost)).to.equal(2)
    for (const { answer } of queued) expect(await answer).to.have.property('code', 'endpoint_lost')
    await harness.end('running')
    expect(await running.answer).to.equal('running')
    expect(harness.queue.outstanding).to.equal(0)
  })

  it('refuses new jobs while draining and still runs queued jobs', async () => {
    const harness = new QueueHarness({ slots: 1 })
    harness.submit('a')
    harness.submit('b')
    harness.queue.setDraining(true)
    expect(await codeOf(harness.submit('c'))).to.equal('draining')
    await harness.end('a')
    expect(harness.order).to.deep.equal(['a', 'b'])
  })

  it('keeps the order of arrival with FifoPolicy, the baseline', async () => {
    const harness = new QueueHarness({ slots: 1, policy: new FifoPolicy() })
    harness.submit('a', 'long')
    harness.submit('b', 'long')
    harness.submit('c', 'prompt')
    await harness.end('a')
    expect(harness.order).to.deep.equal(['a', 'b'])
  })

  it('rejects with the error of a failing job and frees its slot, also when the job throws synchronously', async () => {
    const harness = new QueueHarness({ slots: 1 })
    const failing = harness.queue.submit({ serviceClass: 'normal', rule: 1, deadlineAt: 1000, signal: new AbortController().signal, run: () => { throw new Error('boom') } })
    expect(await failing.catch((error: Error) => error.message)).to.equal('boom')
    harness.submit('next')
    await delay(0)
    expect(harness.order).to.deep.equal(['next'])
  })

  // Guards against an endpoint that gets more requests than the limit that it has named (LIMIT), and against requests that wait for a
  // start that comes after their deadline.
  it('starts jobs no faster than the start rate, and refuses at once those that would start too late', async () => {
    const harness = new QueueHarness({ slots: 4 })
    harness.queue.setStartRate(2)
    const submissions = ['a', 'b', 'c', 'd'].map(name => harness.submit(name, 'normal', 1, 1_800))
    expect(harness.order).to.deep.equal([])
    expect(await codeOf(submissions[3] as Submission)).to.equal('deadline_unreachable')
    for (const expected of [['a'], ['a', 'b'], ['a', 'b', 'c']]) {
      harness.clock.advance(500)
      await delay(600)
      expect(harness.order).to.deep.equal(expected)
    }
  })

  // Guards against requests that never ran and are answered as if they might have: the refusal has to reach the VM of the caller, which
  // answers at the deadline.
  it('refuses a queued job some time before its deadline, also when nothing is known of its running time', async () => {
    const harness = new QueueHarness({ slots: 1 })
    harness.submit('running')
    const waiting = harness.submit('waiting', 'normal', 1, 1_000)
    const startedAt = performance.now()
    // The sweep of the queue uses the timers of the process.
    const elapse = setInterval(() => harness.clock.advance(5), 5)
    expect(await codeOf(waiting)).to.equal('expired_in_queue')
    clearInterval(elapse)
    expect(harness.clock.now()).to.be.lessThan(970)
    expect(performance.now() - startedAt).to.be.greaterThan(500)
  })

  // Guards against requests that wait for an endpoint with a limit although others of its pool have free slots.
  it('refuses a job at once that another queue can run, when the start rate does not let it start now', async () => {
    const harness = new QueueHarness({ slots: 4 })
    const description = { serviceClass: 'normal', rule: 1, deadlineAt: 60_000, signal: new AbortController().signal } as const
    harness.queue.setStartRate(2)
    expect(harness.queue.refusalFor({ ...description, isPortable: true })?.code).to.equal('start_rate_exceeded')
    expect(harness.queue.refusalFor(description)).to.equal(undefined)
    harness.clock.advance(500)
    expect(harness.queue.refusalFor({ ...description, isPortable: true })).to.equal(undefined)
  })

  it('starts all queued jobs when the start rate is lifted', () => {
    const harness = new QueueHarness({ slots: 4 })
    harness.queue.setStartRate(1)
    for (const name of ['a', 'b', 'c']) harness.submit(name)
    harness.queue.setStartRate(undefined)
    expect(harness.order).to.deep.equal(['a', 'b', 'c'])
  })
})
