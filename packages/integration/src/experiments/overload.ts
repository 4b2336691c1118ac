import { saturatingRate } from './capacity.js'
import { Experiment, atLeast, atMost, figure, type ExperimentOptions, type Finding, type ResultOf, type Variant } from './experiment.js'

const defaultSeconds = 10
const overloadFactor = 2

/** Twice the capacity of every pool, from the first moment on. */
export class Overload extends Experiment {
  override readonly name = 'overload'
  override readonly description = 'twice the capacity of every pool, with and without admission'

  override variants ({ scenario, seconds = defaultSeconds, rate = overloadFactor * saturatingRate(scenario) }: ExperimentOptions): readonly Variant[] {
    const common = { phase: 'steady', seconds, requestsPerSecond: Math.round(rate) }
    return [
      { ...common, name: 'no-admission', settings: { admission: false } },
      { ...common, name: 'admission', settings: {} }
    ]
  }

  override findings (resultOf: ResultOf, { scenario }: ExperimentOptions): readonly Finding[] {
    const [base, result] = [resultOf('no-admission'), resultOf('admission')]
    return [
      ...scenario.pools.flatMap(({ pool }) => [
        // The endpoints' own overhead is part of their service time, so the recorded times are the measure.
        atLeast(`useful share of slot time, recorded: ${pool}`, result.pools[pool]?.recordedUsefulShare ?? 0, 0.95),
        figure(`the same with the part in the run of requests that ended after it: ${pool}`, usefulWithEnd(result, pool)),
        figure(`useful share of slot time, planned: ${pool}`, result.pools[pool]?.usefulShare ?? 0),
        figure(`useful share, planned, against no-admission: ${pool}`, (result.pools[pool]?.usefulShare ?? 0) / (base.pools[pool]?.usefulShare ?? 0))
      ]),
      atMost('prompt accepted but not in time, share of planned', promptMisses(result), 0.01),
      figure('the same without admission', promptMisses(base)),
      figure('prompt in time, share of planned', promptInTime(result)),
      figure('the same without admission', promptInTime(base)),
      figure('time to a refusal, p50, ms', result.refusalLatency.p50),
      figure('time to a refusal, p99, ms', result.refusalLatency.p99),
      figure('refused only at the deadline (deadline_passed)', result.refusals['deadline_passed'] ?? 0),
      atMost('answered "not run" but ran', result.violations?.reportedNotRunButRan ?? NaN, 0),
      atMost('at most once but ran twice', result.violations?.ranTwice ?? NaN, 0),
      atMost('refusals without Retry-After', result.refusalsWithoutRetryAfter, 0),
      figure('records incomplete (1 means that the checks above are partial)', result.violations?.recordsIncomplete === false ? 0 : 1)
    ]
  }
}

function usefulWithEnd ({ pools }: ReturnType<ResultOf>, pool: string): number {
  const time = pools[pool]?.slotTime
  return time === undefined ? NaN : time.useful + time.usefulAtEnd
}

function promptMisses ({ classes: { prompt } }: ReturnType<ResultOf>): number {
  return prompt === undefined ? NaN : prompt.acceptedNotInTime / prompt.planned
}

function promptInTime ({ classes: { prompt } }: ReturnType<ResultOf>): number {
  return prompt === undefined ? NaN : prompt.answeredInTime / prompt.planned
}
