import { Experiment, figure, type ExperimentOptions, type Finding, type ResultOf, type Variant } from './experiment.js'

const defaultSeconds = 20

/** The opening hour against first come, first served without admission. */
export class Crest extends Experiment {
  override readonly name = 'crest'
  override readonly description = 'opening hour, against FIFO without admission'

  override variants ({ scenario, seconds = defaultSeconds, rate = scenario.requestsPerSecond }: ExperimentOptions): readonly Variant[] {
    const common = { phase: 'crest', seconds, requestsPerSecond: rate }
    return [
      { ...common, name: 'fifo-no-admission', settings: { scheduling: 'fifo', admission: false } },
      { ...common, name: 'classes', settings: {} }
    ]
  }

  override findings (resultOf: ResultOf): readonly Finding[] {
    const [base, result] = [resultOf('fifo-no-admission'), resultOf('classes')]
    return [
      figure('in time share in the window', result.measures.windowService.inTimeShare),
      figure('the same, against the baseline', result.measures.windowService.inTimeShare / base.measures.windowService.inTimeShare),
      ...['prompt', 'normal'].flatMap(name => {
        const [of, baseOf] = [result.window[name], base.window[name]]
        if (of === undefined || baseOf === undefined) return []
        return [
          figure(`${name} p99 in the window, against the baseline`, of.latency.p99 / baseOf.latency.p99),
          figure(`${name} in time in the window, against the baseline`, of.answeredInTime / baseOf.answeredInTime)
        ]
      })
    ]
  }
}
