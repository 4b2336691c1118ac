import { delay } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'
import { sendTraced, type CallerTrace } from '../bed/index.js'
import { CapacityCommand, numbers } from './capacity-command.js'
import { atlasPlan, withDeployment, type MeasuredDeployment } from './measured-deployment.js'
import { fitSlope, mean } from './slope.js'

const tickMilliseconds = 10
const settleMilliseconds = 3000
const keys = 1000

/** `request-path`: processor time of all VMs per request, as a slope over several rates. */
export class RequestPathCommand extends CapacityCommand {
  static override paths = [['request-path']]
  static override usage = Command.Usage({ description: 'Processor time per request of entry and coordinator' })

  readonly rates = Option.String('--rates', '0,200,400,800', { description: 'Requests per second' })
  readonly vms = Option.String('--vms', '3')
  readonly endpoints = Option.String('--endpoints', '20')
  readonly seconds = Option.String('--seconds', '8')
  readonly #points: Array<{ readonly rate: number, readonly entry: number, readonly others: number }> = []

  protected override async measure (): Promise<void> {
    const plan = atlasPlan(Number(this.vms), Number(this.endpoints))
    // Short work, so that the endpoints' slots do not limit the rate.
    const endpoints = plan.endpoints.map(endpoint => ({ ...endpoint, serviceMilliseconds: 1, slots: 3 }))
    await withDeployment({ ...plan, endpoints }, async deployment => {
      await delay(settleMilliseconds)
      // Not counted: the first requests run code that is not yet optimised.
      await this.#send(deployment, 200)
      for (const rate of numbers(this.rates)) await this.#measureRate(deployment, rate)
    })
    for (const role of ['entry', 'others'] as const) {
      const { perUnit, atZero } = fitSlope(this.#points.map(point => [point.rate, point[role]]))
      this.report({ slope: role === 'entry' ? 'entry VM' : 'all other VMs together', microsecondsPerRequest: perUnit * 1000, idleMillisecondsPerSecond: atZero })
    }
  }

  /** All requests enter at the first VM; the others only coordinate. */
  async #measureRate (deployment: MeasuredDeployment, rate: number): Promise<void> {
    const before = await deployment.uses()
    const startedAt = performance.now()
    const traces = await this.#send(deployment, rate)
    const after = await deployment.uses()
    const seconds = (performance.now() - startedAt) / 1000
    const used = after.map((use, index) => (use.processorMilliseconds - (before[index]?.processorMilliseconds ?? 0)) / seconds)
    const answered = traces.filter(({ answer }) => answer?.outcome === 'answered')
    const point = { rate: answered.length / seconds, entry: used[0] ?? 0, others: used.slice(1).reduce((sum, value) => sum + value, 0) }
    this.#points.push(point)
    const latencies = answered.map(trace => trace.endedAt - trace.startedAt).sort((one, other) => one - other)
    const percentile = (share: number): number => latencies[Math.floor(latencies.length * share)] ?? 0
    this.report({
      plannedRate: rate,
      answeredRate: point.rate,
      notAnswered: traces.length - answered.length,
      entryMillisecondsPerSecond: point.entry,
      otherMillisecondsPerSecond: point.others,
      // Wall clock of the caller, which shares its process with the measurement.
      meanMilliseconds: mean(latencies),
      medianMilliseconds: percentile(0.5),
      p99Milliseconds: percentile(0.99)
    })
  }

  async #send (deployment: MeasuredDeployment, rate: number): Promise<readonly CallerTrace[]> {
    const pending: Array<Promise<CallerTrace>> = []
    const startedAt = performance.now()
    const durationMilliseconds = Number(this.seconds) * 1000
    for (let elapsed = 0; elapsed < durationMilliseconds; elapsed = performance.now() - startedAt) {
      while (pending.length < elapsed * rate / 1000) {
        const id = `request-${pending.length}`
        pending.push(sendTraced(deployment, { id, kind: 'status', key: `pond-${pending.length % keys}`, vm: 'vm-1' }))
      }
      await delay(tickMilliseconds)
    }
    return await Promise.all(pending)
  }
}
