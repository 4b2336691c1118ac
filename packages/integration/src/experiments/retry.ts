import type { Deployment } from '../bed/index.js'
import { Experiment, figure, type ExperimentOptions, type Finding, type ResultOf, type Variant } from './experiment.js'

const defaultSeconds = 10
/** Endpoints shed for this share of the run, from its beginning. */
const shedShare = 0.4

/** Share of each pool's endpoints that shed, by the name of the fault. */
const faults: Readonly<Record<string, number>> = { half: 0.5, all: 1 }

/** Endpoints of every pool that shed for some seconds, with and without the retry budget. */
export class Retry extends Experiment {
  override readonly name = 'retry'
  override readonly description = 'half or all endpoints of every pool shed for some seconds, with and without the retry budget'

  override variants ({ scenario, seconds = defaultSeconds, rate = scenario.requestsPerSecond }: ExperimentOptions): readonly Variant[] {
    return Object.entries(faults).flatMap(([fault, share]) => [false, true].map((retryBudget): Variant => ({
      name: variantName(fault, retryBudget),
      phase: 'steady',
      seconds,
      requestsPerSecond: rate,
      settings: { retryBudget },
      prepare: async deployment => await shed(deployment, scenario, share, shedShare * seconds * 1000)
    })))
  }

  override findings (resultOf: ResultOf, { scenario }: ExperimentOptions): readonly Finding[] {
    return Object.keys(faults).flatMap(fault => [false, true].flatMap(retryBudget => {
      const name = variantName(fault, retryBudget)
      const { planned, kinds, refusals, refusalLatency, pools } = resultOf(name)
      const inTime = Object.values(kinds).reduce((sum, { answeredInTime }) => sum + answeredInTime, 0)
      return [
        figure(`${name}: answered in time, share of planned`, inTime / planned),
        figure(`${name}: refused, share of planned`, Object.values(refusals).reduce((sum, count) => sum + count, 0) / planned),
        figure(`${name}: time to a refusal, p50, ms`, refusalLatency.p50),
        figure(`${name}: time to a refusal, p99, ms`, refusalLatency.p99),
        ...scenario.pools.map(({ pool }) => figure(`${name}: requests at endpoints for each planned: ${pool}`, pools[pool]?.attemptsPerRequest ?? NaN))
      ]
    }))
  }
}

function variantName (fault: string, retryBudget: boolean): string {
  return `${fault} ${retryBudget ? 'budget' : 'no-budget'}`
}

async function shed (deployment: Deployment, { pools }: ExperimentOptions['scenario'], share: number, shedMilliseconds: number): Promise<void> {
  const ids = pools.flatMap(({ pool, endpoints }) => Array.from({ length: Math.round(endpoints * share) }, (_, index) => `${pool}-${index + 1}`))
  await Promise.all(ids.map(async id => await deployment.controlEndpoint(id, { shedMilliseconds })))
}
