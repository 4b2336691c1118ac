// Measures the throughput of p-queue with its default queue and of EndpointQueue, with several numbers of queued jobs, and the
// cost of a refusal. Prints JSON. Usage: node packages/scheduling/bench/queue.js [jobs]
import { MonotonicClock, Random } from '@briarsaddle/common'
import PQueue from 'p-queue'
import { ClassPolicy, EndpointQueue } from '../dist/index.js'

const jobs = Number(process.argv[2] ?? 20_000)
const slots = 2
const classes = ['prompt', 'normal', 'long']

function subjects () {
  const queue = new PQueue({ concurrency: slots })
  const endpoint = new EndpointQueue({ slots, maximumQueued: 10 * jobs, clock: new MonotonicClock(), random: new Random(1), policy: new ClassPolicy() })
  return {
    default: (run, index) => queue.add(run, { priority: 3 - index % 3 }),
    // No deadline. Each job has its own signal, as in the daemon.
    briarsaddle: (run, index, signal) => endpoint.submit({ serviceClass: classes[index % 3], rule: index % 3, deadlineAt: Infinity, signal, run })
  }
}

// Each completed job submits the next one, so the number of queued jobs is constant during the measurement.
async function jobsPerSecond (submit, waiting) {
  const signals = Array.from({ length: jobs + waiting + 1 }, () => new AbortController().signal)
  let submitted = 0
  let done = 0
  let started = 0
  await new Promise((resolve, reject) => {
    const next = () => {
      submit(async () => {}, submitted, signals[submitted++]).then(() => {
        done++
        if (done === jobs) resolve()
        if (done < jobs) next()
      }, reject)
    }
    for (let index = 0; index < waiting; index++) next()
    started = performance.now()
    next()
  })
  return Math.round(jobs / (performance.now() - started) * 1000)
}

async function refusalMicroseconds (call) {
  const { signal } = new AbortController()
  const queue = new EndpointQueue({ slots: 1, maximumQueued: 0, clock: new MonotonicClock(), random: new Random(1), policy: new ClassPolicy() })
  queue.submit({ serviceClass: 'normal', rule: 1, deadlineAt: Infinity, signal, run: () => new Promise(() => {}) })
  const job = { serviceClass: 'normal', rule: 1, deadlineAt: Infinity, signal, run: async () => {} }
  for (let index = 0; index < 1000; index++) await call(queue, job)
  const started = performance.now()
  for (let index = 0; index < jobs; index++) await call(queue, job)
  return Number(((performance.now() - started) / jobs * 1000).toFixed(2))
}

const result = { jobs, slots, jobsPerSecond: {}, refusalMicroseconds: {} }
for (const waiting of [0, 100, 10_000]) {
  for (const name of ['default', 'briarsaddle']) {
    await jobsPerSecond(subjects()[name], Math.min(waiting, 100))
    result.jobsPerSecond[name] ??= {}
    result.jobsPerSecond[name][waiting] = await jobsPerSecond(subjects()[name], waiting)
  }
}
result.refusalMicroseconds.error = await refusalMicroseconds((queue, job) => queue.submit(job).catch(() => {}))
result.refusalMicroseconds.data = await refusalMicroseconds((queue, job) => queue.refusalFor(job))
console.log(JSON.stringify(result, null, 2))
