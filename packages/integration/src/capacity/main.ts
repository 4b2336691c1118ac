import { Builtins, Cli } from 'clipanion'
import { ControlStateCommand } from './control-state.js'
import { IdleControlCommand } from './idle-control.js'

const cli = Cli.from([ControlStateCommand, IdleControlCommand, Builtins.HelpCommand], { binaryLabel: 'briarsaddle capacity measurements', binaryName: 'capacity' })
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
