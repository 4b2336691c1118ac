import { Builtins, Cli } from 'clipanion'
import { IdleControlCommand } from './idle-control.js'

const cli = Cli.from([IdleControlCommand, Builtins.HelpCommand], { binaryLabel: 'briarsaddle capacity measurements', binaryName: 'capacity' })
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
