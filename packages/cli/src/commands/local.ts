import { SettingsError, loadSettings } from '@briarsaddle/settings'
import { Command, Option } from 'clipanion'
import { BriarsaddleCommand } from '../command.js'
import { exitCodes, type ExitCode } from '../exit-code.js'
import { version } from '../version.js'

/** `briarsaddle settings check FILE` */
export class SettingsCheckCommand extends BriarsaddleCommand {
  static override readonly paths = [['settings', 'check']]
  static override readonly usage = Command.Usage({ category: 'Settings', description: 'Check a settings file of the daemon' })
  readonly file = Option.String()

  protected async run (): Promise<ExitCode> {
    try {
      await loadSettings(this.file)
      this.write({ valid: true, findings: [] }, `${this.file} is valid`)
      return exitCodes.success
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error
      this.write({ valid: false, findings: error.findings }, '')
      this.writeToStderr(error.message)
      return exitCodes.badInput
    }
  }
}

/** `briarsaddle version` */
export class VersionCommand extends BriarsaddleCommand {
  static override readonly paths = [['version']]
  static override readonly usage = Command.Usage({ description: 'Show the version of this program' })

  protected async run (): Promise<ExitCode> {
    this.write({ version }, version)
    return exitCodes.success
  }
}
