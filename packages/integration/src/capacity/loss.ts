import { delay } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'
import { waitFor } from '../bed/index.js'
import { CapacityCommand, numbers } from './capacity-command.js'
import { atlasPlan, withDeployment, type MeasuredDeployment } from './measured-deployment.js'

const settleMilliseconds = 3000
const timeoutMilliseconds = 30_000
const quietMilliseconds = 2000
const lostDataCentre = 'dc-a'

interface LossState {
  readonly unassigned: readonly string[]
  readonly endpoints: ReadonlyArray<{ readonly description: { readonly id: string }, readonly buckets: number }>
}

/** `loss`: records and time when all endpoints of one data centre, a third of all, are lost at once. */
export class LossCommand extends CapacityCommand {
  static override paths = [['loss']]
  static override usage = Command.Usage({ description: 'Records and time of the loss of a third of the endpoints' })

  readonly endpoints = Option.String('--endpoints', '20,60')
  readonly vms = Option.String('--vms', '3,8')

  protected override async measure (): Promise<void> {
    for (const vms of numbers(this.vms)) {
      for (const endpoints of numbers(this.endpoints)) await withDeployment(atlasPlan(vms, endpoints), async deployment => await this.#measureLoss(deployment, vms, endpoints))
    }
  }

  async #measureLoss (deployment: MeasuredDeployment, vms: number, endpoints: number): Promise<void> {
    await delay(settleMilliseconds)
    const lost = [...deployment.endpoints.values()].filter(({ plan }) => plan.dataCentre === lostDataCentre)
    const before = await deployment.logCounts()
    const startedAt = performance.now()
    await Promise.all(lost.map(async ({ process }) => await process.kill()))
    const ids = new Set(lost.map(({ plan }) => plan.id))
    await waitFor('all buckets have owners that live', timeoutMilliseconds, async () => {
      const { unassigned, endpoints: known } = (await deployment.state('vm-1'))['control'] as LossState
      return unassigned.length === 0 && known.every(({ description, buckets }) => !ids.has(description.id) || buckets === 0)
    })
    const milliseconds = performance.now() - startedAt
    const atEnd = await deployment.logCounts()
    await delay(quietMilliseconds)
    const later = await deployment.logCounts()
    const kinds = await deployment.recordKinds(before.next)
    this.report({
      vms,
      endpoints,
      lost: lost.length,
      lostKeyed: lost.filter(({ plan }) => plan.pool === 'ponds').length,
      milliseconds,
      appends: atEnd.appends - before.appends,
      appendsPerSecond: (atEnd.appends - before.appends) / milliseconds * 1000,
      appendsAfterwards: later.appends - atEnd.appends,
      ...kinds
    })
  }
}
