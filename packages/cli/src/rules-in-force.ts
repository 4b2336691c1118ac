import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { noVersion, type RulesState } from '@briarsaddle/ownership'
import { Option } from 'clipanion'
import { z } from 'zod'
import { AdministrationCommand } from './command.js'
import { ControlLog } from './control-log.js'
import { parseOrigin } from './input.js'

const rulesSchema = z.object({ version: z.int().min(noVersion), text: z.string(), author: z.string().default('') })

/** Base class of the commands that read the rule file in force, from a VM or directly from the log. */
export abstract class RulesInForceCommand extends AdministrationCommand {
  readonly logUrl = Option.String('--log-url', { description: 'Read the log service instead of asking a VM; needs no token' })
  readonly stream = Option.String('--stream', 'control', { description: 'Control stream of the log' })

  /** Returns the rules in force; the version is `noVersion` before the first publication. */
  protected async rulesInForce (): Promise<RulesState> {
    return this.logUrl === undefined ? await this.#fromAdministration() : await this.#fromLog(this.logUrl)
  }

  async #fromAdministration (): Promise<RulesState> {
    const answer = await this.call({ method: 'GET', path: '/rules' })
    try {
      return rulesSchema.parse(answer)
    } catch (error) {
      throw new BriarsaddleError(`the answer to GET /rules is invalid: ${describeError(error)}`, { code: 'administration_unavailable', step: 'GET /rules', cause: error })
    }
  }

  async #fromLog (logUrl: string): Promise<RulesState> {
    const { client, close } = this.context.openLog(parseOrigin(logUrl, '--log-url'), this.stream)
    try {
      return (await new ControlLog(client).readToEnd()).rules
    } finally {
      await close()
    }
  }
}
