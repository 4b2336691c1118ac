import { Experiment, atLeast, atMost, figure, type ExperimentOptions, type Finding, type ResultOf, type Variant } from './experiment.js'

const defaultSeconds = 20

/** Short requests beside season reconciliations on the same endpoints. */
export class HeadOfLine extends Experiment {
  override readonly name = 'head-of-line'
  override readonly description = 'short requests with and without season reconciliations on their endpoints'

  override variants ({ scenario, seconds = defaultSeconds, rate = scenario.requestsPerSecond }: ExperimentOptions): readonly Variant[] {
    const common = { seconds, requestsPerSecond: rate }
    return [
      { ...common, name: 'fifo', phase: 'long-jobs', settings: { scheduling: 'fifo' } },
      { ...common, name: 'without-long', phase: 'steady', settings: {} },
      { ...common, name: 'classes', phase: 'long-jobs', settings: {} }
    ]
  }

  override findings (resultOf: ResultOf): readonly Finding[] {
    const p99 = (name: string): number => resultOf(name).window['short']?.latency.p99 ?? 0
    return [
      atMost('short p99: classes to without-long', p99('classes') / p99('without-long'), 1.5),
      atLeast('short p99: fifo to classes', p99('fifo') / p99('classes'), 5),
      figure('long answered in time: classes to fifo', longInTime(resultOf('classes')) / longInTime(resultOf('fifo')))
    ]
  }
}

function longInTime (result: ReturnType<ResultOf>): number {
  return result.window['long']?.answeredInTime ?? 0
}
