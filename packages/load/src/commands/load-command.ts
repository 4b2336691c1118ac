import { describeError } from '@briarsaddle/common'
import { Command } from 'clipanion'

/** Base of the commands: reports errors on stderr in one line and exits with 1. */
export abstract class LoadCommand extends Command {
  /** Does the work of the command. */
  protected abstract run (): Promise<void>

  async execute (): Promise<number> {
    try {
      await this.run()
      return 0
    } catch (error) {
      this.context.stderr.write(`briarsaddle-load: ${describeError(error)}\n`)
      return 1
    }
  }
}
