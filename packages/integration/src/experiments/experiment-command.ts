import { writeFile } from 'node:fs/promises'
import { describeError } from '@briarsaddle/common'
import { formatReport, scenarios, slowScenario, type RunResult } from '@briarsaddle/load'
import { Command, Option } from 'clipanion'
import * as t from 'typanion'
import { Crest } from './crest.js'
import { firms, type Experiment, type ExperimentOptions } from './experiment.js'
import { formatFindings } from './format-findings.js'
import { HeadOfLine, HeadOfLineBurst } from './head-of-line.js'
import { Overload } from './overload.js'
import { Pools } from './pools.js'
import { Retry } from './retry.js'
import { runVariant } from './run-variant.js'

const experiments: readonly Experiment[] = [new HeadOfLine(), new HeadOfLineBurst(), new Overload(), new Crest(), new Pools(), new Retry()]
const isPositive = t.cascade(t.isNumber(), [t.isAtLeast(Number.MIN_VALUE)])

/** Runs one experiment: all variants one after the other, each on a deployment of its own. */
export class ExperimentCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({
    description: 'Run an experiment with real processes and print figures and ratios',
    details: experiments.map(({ name, description }) => `- \`${name}\`: ${description}`).join('\n\n')
  })

  readonly experiment = Option.String({ name: 'name', validator: t.isEnum(experiments.map(({ name }) => name)) })
  readonly firm = Option.String('--firm', 'atlas', { validator: t.isEnum(firms), description: firms.join(' or ') })
  readonly seed = Option.String('--seed', '1', { validator: t.isNumber() })
  readonly seconds = Option.String('--seconds', { validator: isPositive, description: 'Length of each run; default of the experiment' })
  readonly rate = Option.String('--rate', { validator: isPositive, description: 'Base rate in requests per second; default of the experiment' })
  readonly slowdown = Option.String('--slowdown', '1', { validator: isPositive, description: 'Makes service times this many times as long and lowers all rates as much, for machines without the processors for the full rate' })
  readonly json = Option.String('--json', { description: 'File for findings and all results' })

  override async execute (): Promise<number> {
    try {
      await this.#run()
      return 0
    } catch (error) {
      this.context.stderr.write(`experiment: ${describeError(error)}\n`)
      return 1
    }
  }

  async #run (): Promise<void> {
    const experiment = experiments.find(({ name }) => name === this.experiment)
    const scenario = scenarios.get(this.firm)
    if (experiment === undefined || scenario === undefined) throw new Error(`no experiment ${this.experiment} for ${this.firm}`)
    const options: ExperimentOptions = { firm: this.firm, scenario: slowScenario(scenario, this.slowdown), slowdown: this.slowdown, seed: this.seed, seconds: this.seconds, rate: this.rate }
    const results = new Map<string, RunResult>()
    for (const variant of experiment.variants(options)) {
      this.context.stderr.write(`${experiment.name}, ${this.firm}: ${variant.name}\n`)
      results.set(variant.name, await runVariant(options, variant))
    }
    const findings = experiment.findings(name => required(results, name), options)
    if (this.json !== undefined) {
      await writeFile(this.json, JSON.stringify({ format: 1, experiment: experiment.name, firm: this.firm, seed: this.seed, slowdown: this.slowdown, findings, results: Object.fromEntries(results) }) + '\n')
    }
    this.context.stdout.write(formatReport([...results].map(([name, result]) => ({ name, result }))) + '\n' + formatFindings(findings))
  }
}

function required (results: ReadonlyMap<string, RunResult>, name: string): RunResult {
  const result = results.get(name)
  if (result === undefined) throw new Error(`variant "${name}" was not run`)
  return result
}
