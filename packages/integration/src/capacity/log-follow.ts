import { delay } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'
import { CapacityCommand, numbers } from './capacity-command.js'
import { atlasPlan, withDeployment, type MeasuredDeployment } from './measured-deployment.js'
import { median } from './slope.js'

const pollMilliseconds = 2
const pauseMilliseconds = 300
const settleMilliseconds = 3000

/** `log-follow`: time from an append to all VMs having read it. */
export class LogFollowCommand extends CapacityCommand {
  static override paths = [['log-follow']]
  static override usage = Command.Usage({ description: 'Time from an append until every VM has read the record' })

  readonly vms = Option.String('--vms', '3,8,16')
  readonly appends = Option.String('--appends', '20')
  readonly endpoints = Option.String('--endpoints', '6')

  protected override async measure (): Promise<void> {
    for (const vms of numbers(this.vms)) await withDeployment(atlasPlan(vms, Number(this.endpoints)), async deployment => await this.#measureVms(deployment, vms))
  }

  async #measureVms (deployment: MeasuredDeployment, vms: number): Promise<void> {
    await delay(settleMilliseconds)
    const times: number[] = []
    for (let count = 0; count < Number(this.appends); count++) {
      await delay(pauseMilliseconds)
      const { offset, startedAt } = await deployment.appendVoidRecord()
      await Promise.all([...deployment.vms.keys()].map(async vm => await waitForPosition(deployment, vm, offset)))
      times.push(performance.now() - startedAt)
    }
    this.report({ vms, appends: times.length, medianMilliseconds: median(times), longestMilliseconds: Math.max(...times), pollMilliseconds })
  }
}

/** The dump is polled, so a time includes up to one poll and one dump. */
async function waitForPosition (deployment: MeasuredDeployment, vm: string, offset: number): Promise<void> {
  for (;;) {
    const { log } = (await deployment.state(vm))['control'] as { readonly log: { readonly position: number } }
    if (log.position >= offset) return
    await delay(pollMilliseconds)
  }
}
