import { BriarsaddleError, describeError, errorCode } from '@briarsaddle/common'
import { RuleFileError } from '@briarsaddle/rules'
import { SettingsError } from '@briarsaddle/settings'
import { Command, Option } from 'clipanion'
import { AdministrationClient, type AdministrationCall } from './administration-client.js'
import type { CliContext } from './context.js'
import { exitCodeOf, type ExitCode } from './exit-code.js'
import { parseOrigin } from './input.js'

/** Base class of all commands. Writes results to stdout and errors to stderr, and converts errors to exit codes. */
export abstract class BriarsaddleCommand extends Command<CliContext> {
  readonly json = Option.Boolean('--json', false, { description: 'Write the result as one line of JSON' })

  /** Runs the command and returns its exit code. A thrown error is reported and determines the exit code. */
  protected abstract run (): Promise<ExitCode>

  async execute (): Promise<number> {
    try {
      return await this.run()
    } catch (error) {
      const message = messageOf(error)
      if (this.json) this.#writeJson({ error: error instanceof BriarsaddleError ? { ...error.toData(), message } : { code: errorCode(error), message } })
      this.writeToStderr(message)
      return exitCodeOf(error)
    }
  }

  /** Writes the result to stdout: `data` as one line of JSON with `--json`, otherwise `text`. */
  protected write (data: unknown, text: string): void {
    if (this.json) this.#writeJson(data)
    else if (text !== '') this.context.stdout.write(text.endsWith('\n') ? text : `${text}\n`)
  }

  /** Writes an error or warning to stderr, with the name of the program before each line. */
  protected writeToStderr (message: string): void {
    for (const line of message.split('\n')) this.context.stderr.write(`briarsaddle: ${line}\n`)
  }

  #writeJson (data: unknown): void {
    this.context.stdout.write(`${JSON.stringify(data)}\n`)
  }
}

/** Returns the message of an error: one line per finding for an invalid file, a single line for other errors. */
function messageOf (error: unknown): string {
  const message = describeError(error)
  if (error instanceof RuleFileError || error instanceof SettingsError) return message
  // modern-errors puts the messages of the causes on separate lines before the error's own message, which already names the cause.
  return message.split('\n').at(-1) ?? message
}

/** Base class of the commands that call the administration interface of a VM. */
export abstract class AdministrationCommand extends BriarsaddleCommand {
  readonly address = Option.String('--address', 'http://127.0.0.1:7080', { description: 'Administration address of a VM' })
  readonly token = Option.String('--token', { env: 'BRIARSADDLE_TOKEN', description: 'Administration token; BRIARSADDLE_TOKEN keeps it out of the process list' })

  /** Calls the administration interface. Throws `bad_input` without a token, and the errors of `AdministrationClient.call`. */
  protected async call (call: AdministrationCall): Promise<unknown> {
    if (this.token === undefined) throw new BriarsaddleError('an administration token is needed: set BRIARSADDLE_TOKEN or use --token', { code: 'bad_input', step: 'read arguments' })
    return await new AdministrationClient(parseOrigin(this.address, '--address'), this.token).call(call)
  }
}

/** Formats an answer as text: one `name: value` line per property of an object, JSON for other values. */
export function formatProperties (data: unknown): string {
  if (data === null || typeof data !== 'object' || Array.isArray(data)) return JSON.stringify(data)
  return Object.entries(data).map(([name, value]) => `${name}: ${typeof value === 'string' ? value : JSON.stringify(value)}`).join('\n')
}
