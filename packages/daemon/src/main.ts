import { readFileSync } from 'node:fs'
import { Builtins, Cli, Command, Option, UsageError } from 'clipanion'
import { describeError, enableLogs, ignoreClosedOutput, Logger } from '@briarsaddle/common'
import { administrationToken, loadSettings } from '@briarsaddle/settings'
import { Daemon } from './daemon.js'

const logger = new Logger('daemon')
const badSettingsExitCode = 2
const failedStartExitCode = 1
const version = (JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as { readonly version: string }).version

class RunCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({
    description: 'Run one VM of briarsaddle',
    details: 'Exit codes: 0 stopped on request, 1 start failed, 2 bad arguments or settings. SIGTERM and SIGINT stop gracefully.'
  })

  settingsFile = Option.String('--settings', { required: true, description: 'TOML settings file' })
  check = Option.Boolean('--check', false, { description: 'Check the settings and exit' })

  async execute (): Promise<number> {
    let settings
    try {
      settings = await loadSettings(this.settingsFile)
      administrationToken(settings)
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`)
      return badSettingsExitCode
    }
    if (this.check) {
      this.context.stdout.write(`${this.settingsFile} is valid\n`)
      return 0
    }
    if (process.env['DEBUG'] === undefined) enableLogs(settings.logs.namespaces)
    const daemon = new Daemon(settings)
    const stopped = new Promise<void>(resolve => {
      for (const signal of ['SIGTERM', 'SIGINT'] as const) {
        process.once(signal, () => {
          logger.info('stopping', { signal })
          resolve(daemon.stop())
        })
      }
    })
    try {
      const addresses = await daemon.start()
      this.context.stdout.write(`${JSON.stringify({ listening: addresses })}\n`)
    } catch (error) {
      this.context.stderr.write(`start failed: ${describeError(error)}\n`)
      await daemon.stop()
      return failedStartExitCode
    }
    await stopped
    return 0
  }
}

/** Runs the daemon with command-line arguments and returns the exit code. */
export async function main (args: readonly string[]): Promise<number> {
  ignoreClosedOutput(process.stdout, process.stderr)
  const cli = new Cli({ binaryName: 'briarsaddled', binaryLabel: 'briarsaddle daemon', binaryVersion: version })
  cli.register(RunCommand)
  cli.register(Builtins.HelpCommand)
  cli.register(Builtins.VersionCommand)
  try {
    return await cli.run(cli.process([...args]), Cli.defaultContext)
  } catch (error) {
    process.stderr.write(error instanceof UsageError ? `${error.message}\n` : `${cli.error(error)}\n`)
    return badSettingsExitCode
  }
}
