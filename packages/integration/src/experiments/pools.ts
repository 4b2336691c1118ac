import type { Deployment } from '../bed/index.js'
import { Experiment, figure, type ExperimentOptions, type Finding, type ResultOf, type Variant } from './experiment.js'

const defaultSeconds = 10
const slowFactor = 10
const failRate = 0.9

/** A keyless pool with one slow or failing endpoint. */
export class Pools extends Experiment {
  override readonly name = 'pools'
  override readonly description = 'keyless pool with one slow or one failing endpoint: two choices against random'

  override variants ({ scenario, seconds = defaultSeconds, rate = scenario.requestsPerSecond }: ExperimentOptions): readonly Variant[] {
    const pool = scenario.pools.find(({ keyed }) => !keyed)?.pool ?? ''
    const faults = { slow: { serviceFactor: slowFactor }, failing: { failRate } }
    return Object.entries(faults).flatMap(([fault, control]) => (['random', 'two-choices'] as const).map((endpointChoice): Variant => ({
      name: `${fault} ${endpointChoice}`,
      phase: 'steady',
      seconds,
      requestsPerSecond: rate,
      settings: { endpointChoice },
      prepare: async (deployment: Deployment) => await deployment.controlEndpoint(`${pool}-1`, control)
    })))
  }

  override findings (resultOf: ResultOf, { scenario }: ExperimentOptions): readonly Finding[] {
    const pools = new Set(scenario.pools.filter(({ keyed }) => !keyed).map(({ pool }) => pool))
    const kind = scenario.kinds.find(({ pool, weight }) => pools.has(pool) && weight > 0)?.name ?? ''
    const of = (name: string): RunResult['kinds'][string] => {
      const result = resultOf(name).kinds[kind]
      if (result === undefined) throw new Error(`the run "${name}" has no requests of kind ${kind}`)
      return result
    }
    return ['slow', 'failing'].flatMap(fault => {
      const [random, choices] = [of(`${fault} random`), of(`${fault} two-choices`)]
      return [
        figure(`${fault}: ${kind} p99, two-choices to random`, choices.latency.p99 / random.latency.p99),
        figure(`${fault}: ${kind} not answered in time, share, random`, 1 - random.answeredInTime / random.planned),
        figure(`${fault}: ${kind} not answered in time, share, two-choices`, 1 - choices.answeredInTime / choices.planned)
      ]
    })
  }
}

type RunResult = ReturnType<ResultOf>
