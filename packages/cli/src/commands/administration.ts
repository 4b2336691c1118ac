import { Command, Option } from 'clipanion'
import { z } from 'zod'
import { AdministrationCommand, formatProperties } from '../command.js'
import { exitCodes, type ExitCode } from '../exit-code.js'

const category = 'Running system'
const outcomeSchema = z.object({ outcome: z.string() })

/** `briarsaddle state` */
export class StateCommand extends AdministrationCommand {
  static override readonly paths = [['state']]
  static override readonly usage = Command.Usage({ category, description: 'Show the state of a VM' })

  protected async run (): Promise<ExitCode> {
    const state = await this.call({ method: 'GET', path: '/state' })
    this.write(state, JSON.stringify(state, null, 2))
    return exitCodes.success
  }
}

/** `briarsaddle owner --pool P --key K` */
export class OwnerCommand extends AdministrationCommand {
  static override readonly paths = [['owner']]
  static override readonly usage = Command.Usage({ category, description: 'Show which endpoint owns a key' })
  readonly pool = Option.String('--pool', { required: true })
  readonly key = Option.String('--key', { required: true })

  protected async run (): Promise<ExitCode> {
    const owner = await this.call({ method: 'GET', path: '/owner', query: { pool: this.pool, key: this.key } })
    this.write(owner, formatProperties(owner))
    return exitCodes.success
  }
}

/** `briarsaddle match METHOD PATH` */
export class MatchCommand extends AdministrationCommand {
  static override readonly paths = [['match']]
  static override readonly usage = Command.Usage({ category, description: 'Show the rule that a request would use', details: 'PATH may end with a query.' })
  readonly method = Option.String()
  readonly requestPath = Option.String({ name: 'path' })

  protected async run (): Promise<ExitCode> {
    const match = await this.call({ method: 'GET', path: '/match', query: { method: this.method.toUpperCase(), path: this.requestPath } })
    this.write(match, formatProperties(match))
    const { data } = outcomeSchema.safeParse(match)
    return data === undefined || data.outcome === 'matched' ? exitCodes.success : exitCodes.refused
  }
}

/** `briarsaddle drain ENDPOINT --author NAME` */
export class DrainCommand extends AdministrationCommand {
  static override readonly paths = [['drain']]
  static override readonly usage = Command.Usage({ category, description: 'Mark an endpoint as leaving, so that it gets no new work' })
  readonly endpoint = Option.String()
  readonly author = Option.String('--author', { required: true, description: 'Who gives the command' })

  protected async run (): Promise<ExitCode> {
    const answer = await this.call({ method: 'POST', path: '/drain', body: { endpoint: this.endpoint, author: this.author } })
    this.write(answer, `${this.endpoint} is leaving\n${formatProperties(answer)}`)
    return exitCodes.success
  }
}

/** `briarsaddle witnesses release VM... --author NAME` */
export class WitnessesReleaseCommand extends AdministrationCommand {
  static override readonly paths = [['witnesses', 'release']]
  static override readonly usage = Command.Usage({
    category,
    description: 'Remove VMs that are lost for good from the witnesses',
    details: 'A VM that still runs must not be released: it could confirm a right that the remaining witnesses no longer know of.'
  })

  readonly vms = Option.Rest({ required: 1, name: 'VM' })
  readonly author = Option.String('--author', { required: true, description: 'Who gives the command' })

  protected async run (): Promise<ExitCode> {
    const answer = await this.call({ method: 'POST', path: '/witnesses/release', body: { lost: this.vms, author: this.author } })
    this.write(answer, `released ${this.vms.join(', ')}\n${formatProperties(answer)}`)
    return exitCodes.success
  }
}
