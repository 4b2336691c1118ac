import { Builtins, Cli } from 'clipanion'
import { ControlStateCommand } from './control-state.js'
import { IdleControlCommand } from './idle-control.js'
import { LogFollowCommand } from './log-follow.js'
import { LossCommand } from './loss.js'
import { RequestPathCommand } from './request-path.js'

const cli = Cli.from([ControlStateCommand, IdleControlCommand, RequestPathCommand, LogFollowCommand, LossCommand, Builtins.HelpCommand], { binaryLabel: 'briarsaddle capacity measurements', binaryName: 'capacity' })
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
