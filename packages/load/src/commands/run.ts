import { writeFile } from 'node:fs/promises'
import { BriarsaddleError, LifeCycle } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'
import * as t from 'typanion'
import { readAdministrationState, readEndpointRecords } from '../observers.js'
import { planRequests } from '../plan.js'
import { formatReport } from '../report.js'
import type { RunResult } from '../result.js'
import { runPlan } from '../run-plan.js'
import type { Scenario } from '../scenario.js'
import { scenarios, slowScenario } from '../scenarios.js'
import { Sender } from '../sender.js'
import { summarizeRun } from '../summarize-run.js'
import { LoadCommand } from './load-command.js'

const isPositive = t.cascade(t.isNumber(), [t.isAtLeast(Number.MIN_VALUE)])

/** `briarsaddle-load run`: one experiment. */
export class RunCommand extends LoadCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({ description: 'Send the planned requests of one scenario and phase and record what their callers saw' })

  readonly scenario = Option.String('--scenario', { required: true, description: 'atlas or ostrina' })
  readonly targets = Option.Array('--target', { required: true, description: 'Address of an entry VM; may be given several times' })
  readonly phase = Option.String('--phase', 'steady', { description: 'steady, crest, flare, reconciliation or long-jobs' })
  readonly seed = Option.String('--seed', '1', { validator: t.isNumber() })
  readonly rate = Option.String('--rate', { validator: isPositive, description: 'Base rate in requests per second; default of the scenario' })
  readonly duration = Option.String('--duration', '30', { validator: isPositive, description: 'Seconds' })
  readonly slowdown = Option.String('--slowdown', '1', { validator: isPositive, description: 'Makes service times this many times as long and lowers the default rate as much, for machines without the processors for the full rate' })
  readonly connections = Option.String('--connections', '1000', { validator: isPositive, description: 'Connections per target' })
  readonly endpointRecords = Option.Array('--endpoint-record', [], { description: 'Address of an endpoint stand-in; may be given several times' })
  readonly administration = Option.String('--administration', { description: 'Administration address of a VM' })
  readonly token = Option.String('--token', { env: 'BRIARSADDLE_TOKEN', description: 'Administration token' })
  readonly json = Option.String('--json', { description: 'File for the result' })

  protected override async run (): Promise<void> {
    const lifeCycle = new LifeCycle('load')
    try {
      const result = await this.#runExperiment(lifeCycle)
      if (this.json !== undefined) await writeFile(this.json, JSON.stringify(result) + '\n')
      this.context.stdout.write(formatReport([{ name: this.json ?? 'result', result }]))
    } finally {
      await lifeCycle.close()
    }
  }

  async #runExperiment (lifeCycle: LifeCycle): Promise<RunResult> {
    const scenario = this.#findScenario()
    const phase = scenario.phases[this.phase]
    if (phase === undefined) throw badInput(`Phase "${this.phase}" does not exist; there are ${Object.keys(scenario.phases).join(', ')}`)
    const requestsPerSecond = this.rate ?? scenario.requestsPerSecond
    const plan = planRequests({ scenario, phase, seed: this.seed, requestsPerSecond, durationSeconds: this.duration })
    const sender = new Sender(this.targets, this.connections, lifeCycle)
    const before = await this.#readState()
    const startedAt = new Date()
    const finished = await runPlan(plan, {
      // The start time keeps the ids of repeated runs with one seed apart in the endpoints' records.
      connections: this.connections * this.targets.length,
      idPrefix: `${this.seed}-${startedAt.getTime()}`,
      send: async (planned, id) => await sender.send(planned, id)
    })
    const after = await this.#readState()
    const records = await readEndpointRecords(this.endpointRecords)
    return summarizeRun({
      scenario,
      phaseName: this.phase,
      phase,
      seed: this.seed,
      requestsPerSecond,
      durationSeconds: this.duration,
      targets: this.targets,
      startedAt: startedAt.toISOString(),
      finished,
      records,
      ...(this.administration !== undefined ? { administration: { before, after } } : {})
    })
  }

  #findScenario (): Scenario {
    const scenario = scenarios.get(this.scenario)
    if (scenario === undefined) throw badInput(`Scenario "${this.scenario}" does not exist; there are ${[...scenarios.keys()].join(', ')}`)
    return this.slowdown === 1 ? scenario : slowScenario(scenario, this.slowdown)
  }

  async #readState (): Promise<unknown> {
    return this.administration === undefined ? undefined : await readAdministrationState(this.administration, this.token ?? '')
  }
}

function badInput (message: string): BriarsaddleError {
  return new BriarsaddleError(message, { code: 'bad_input', step: 'read arguments' })
}
