import { Builtins, Cli } from 'clipanion'
import { ExperimentCommand } from './experiment-command.js'

const cli = Cli.from([ExperimentCommand, Builtins.HelpCommand], { binaryLabel: 'briarsaddle experiments', binaryName: 'npm run experiment --' })
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
