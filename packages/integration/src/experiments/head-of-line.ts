import type { RunResult, Scenario } from '@briarsaddle/load'
import { Experiment, atLeast, atMost, figure, type ExperimentOptions, type Finding, type ResultOf, type Variant } from './experiment.js'

const defaultSeconds = 20
const withoutRelief = 'classes-without-relief'

/** Short requests beside long jobs on the same endpoints. */
export abstract class LongJobs extends Experiment {
  /** The phase with long jobs; without them it has the same short requests as `steady`. */
  abstract readonly phase: string

  override variants ({ scenario, seconds = defaultSeconds, rate = scenario.requestsPerSecond }: ExperimentOptions): readonly Variant[] {
    const common = { seconds, requestsPerSecond: rate }
    return [
      { ...common, name: 'fifo', phase: this.phase, settings: { scheduling: 'fifo' } },
      { ...common, name: 'without-long', phase: 'steady', settings: {} },
      { ...common, name: 'classes', phase: this.phase, settings: {} }
    ]
  }

  override findings (resultOf: ResultOf, { scenario }: ExperimentOptions): readonly Finding[] {
    const p99 = (name: string): number => shortP99(resultOf(name))
    return [
      atMost('short p99: classes to without-long', p99('classes') / p99('without-long'), 1.5),
      atLeast('short p99: fifo to classes', p99('fifo') / p99('classes'), 5),
      figure('long answered in time: classes to fifo', longInTime(resultOf('classes')) / longInTime(resultOf('fifo'))),
      // The ratios can only be judged together with how busy the pool is.
      ...['without-long', 'classes'].map(name => figure(`useful share of keyed slot time: ${name}`, keyedUsefulShare(resultOf(name), scenario)))
    ]
  }
}

/** A steady stream of season reconciliations for many keys. */
export class HeadOfLine extends LongJobs {
  override readonly name = 'head-of-line'
  override readonly description = 'short requests with and without season reconciliations on their endpoints'
  override readonly phase = 'long-jobs'
}

/** Few long jobs that meet on few endpoints, where a queue without classes gives all slots to them. */
export class HeadOfLineBurst extends LongJobs {
  override readonly name = 'head-of-line-burst'
  override readonly description = 'short requests with and without several season reconciliations at once for each of two keys'
  override readonly phase = 'long-burst'

  override variants (options: ExperimentOptions): readonly Variant[] {
    const variants = super.variants(options)
    return [...variants, ...variants.filter(({ name }) => name === 'classes').map(variant => ({ ...variant, name: withoutRelief, settings: { longJobRelief: false } }))]
  }

  override findings (resultOf: ResultOf, options: ExperimentOptions): readonly Finding[] {
    return [...super.findings(resultOf, options), figure('short p99: without relief to classes', shortP99(resultOf(withoutRelief)) / shortP99(resultOf('classes')))]
  }
}

function shortP99 (result: RunResult): number {
  return result.window['short']?.latency.p99 ?? 0
}

function longInTime (result: RunResult): number {
  return result.window['long']?.answeredInTime ?? 0
}

function keyedUsefulShare (result: RunResult, { pools }: Scenario): number {
  const keyed = pools.find(pool => pool.keyed)?.pool ?? ''
  return result.pools[keyed]?.recordedUsefulShare ?? -1
}
