import { describeError, ignoreClosedOutput } from '@briarsaddle/common'
import { Builtins, Cli, type Command } from 'clipanion'
import { z } from 'zod'
import { DrainCommand, MatchCommand, OwnerCommand, StateCommand, WitnessesReleaseCommand } from './commands/administration.js'
import { SettingsCheckCommand, VersionCommand } from './commands/local.js'
import { RulesCheckCommand, RulesDiffCommand, RulesPublishCommand, RulesShowCommand } from './commands/rules.js'
import { openHttpLog, type CliContext } from './context.js'
import { exitCodes } from './exit-code.js'
import { version } from './version.js'

const commands = [
  RulesCheckCommand, RulesPublishCommand, RulesShowCommand, RulesDiffCommand, StateCommand, OwnerCommand, MatchCommand,
  DrainCommand, WitnessesReleaseCommand, SettingsCheckCommand, VersionCommand, Builtins.HelpCommand, Builtins.VersionCommand
]

const exitCodeHelp = `
Exit codes: ${exitCodes.success} success, ${exitCodes.refused} refused or not found, ${exitCodes.badInput} usage or bad input, ${exitCodes.unavailable} service unavailable (nothing changed), ${exitCodes.unknown} outcome unknown.
`

/** Error of clipanion with the commands that are similar to the arguments. */
const candidatesSchema = z.object({ candidates: z.array(z.object({ usage: z.string() })).min(1) })

function describeUsageError (error: unknown): string {
  const { data } = candidatesSchema.safeParse(error)
  if (data === undefined) return `${describeError(error).split('\n')[0]} (see briarsaddle --help)`
  return `wrong arguments; usage: ${data.candidates.map(({ usage }) => usage).join(' | ')}`
}

/** Runs one command line and returns its exit code. `overrides` replaces parts of the context, for tests. */
export async function main (args: readonly string[], overrides: Partial<CliContext> = {}): Promise<number> {
  ignoreClosedOutput(process.stdout, process.stderr)
  const context: CliContext = { ...Cli.defaultContext, openLog: openHttpLog, ...overrides }
  const cli = Cli.from<CliContext>(commands, { binaryLabel: 'briarsaddle', binaryName: 'briarsaddle', binaryVersion: version, enableColors: process.stdout.isTTY === true })
  if (args.length === 0) {
    context.stderr.write(cli.usage() + exitCodeHelp)
    return exitCodes.badInput
  }
  let command: Command<CliContext>
  try {
    command = cli.process([...args], context)
  } catch (error) {
    context.stderr.write(`briarsaddle: ${describeUsageError(error)}\n`)
    return exitCodes.badInput
  }
  const exitCode = await cli.run(command, context)
  if (command instanceof Builtins.HelpCommand) context.stdout.write(exitCodeHelp)
  return exitCode
}
