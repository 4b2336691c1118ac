import { ignoreClosedOutput } from '@briarsaddle/common'
import { Builtins, Cli } from 'clipanion'
import { ReportCommand } from './commands/report.js'
import { RunCommand } from './commands/run.js'

/** Runs one command line of `briarsaddle-load` and returns its exit code. */
export async function main (args: readonly string[]): Promise<number> {
  ignoreClosedOutput(process.stdout, process.stderr)
  const cli = Cli.from([RunCommand, ReportCommand, Builtins.HelpCommand], { binaryLabel: 'briarsaddle load tool', binaryName: 'briarsaddle-load' })
  return await cli.run([...args], Cli.defaultContext)
}
