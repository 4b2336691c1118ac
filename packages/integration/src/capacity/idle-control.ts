import { delay } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'
import { CapacityCommand } from './capacity-command.js'
import { atlasPlan, withDeployment, type MeasuredDeployment } from './measured-deployment.js'
import { fitSlope, mean, type Slope } from './slope.js'

const outageSettleMilliseconds = 1000
/** Default of the daemon; other programs poll more often, which would be part of the figures. */
const vmListMilliseconds = 1000

interface Window {
  readonly processorPercent: number
  readonly residentMegabytes: number
  readonly logBytes: number
  readonly innerBytes: number
  readonly endpointBytes: number
  readonly logReads: number
  readonly logAppends: number
}

/** `idle-control`: what control costs without traffic, with the log and while the log is down. */
export class IdleControlCommand extends CapacityCommand {
  static override paths = [['idle-control']]
  static override usage = Command.Usage({ description: 'Processor, memory and bytes per VM without traffic' })

  readonly sizes = Option.String('--sizes', '1x0,3x20,3x60,8x20,8x60,16x20,16x60,16x120', { description: 'VMs x endpoints; 1x0 is the zero' })
  readonly seconds = Option.String('--seconds', '10')
  readonly settle = Option.String('--settle', '3', { description: 'Seconds before the measurement; the processes still compile their code in the first minute' })
  readonly #points: Array<{ readonly endpointsPerVm: number, readonly idle: Window }> = []

  protected override async measure (): Promise<void> {
    for (const size of this.sizes.split(',')) {
      const [vms = 1, endpoints = 0] = size.split('x').map(Number)
      try {
        await withDeployment(atlasPlan(vms, endpoints, { proxies: true, vmListMilliseconds }), async deployment => await this.#measureSize(deployment, vms, endpoints))
      } catch (error) {
        // One size that does not come up must not lose the measurements of the others.
        this.report({ vms, endpoints, failed: String(error).split('\n')[0] ?? '' })
      }
    }
    this.#reportSlope('processorPercent', window => window.processorPercent)
    this.#reportSlope('residentMegabytes', window => window.residentMegabytes)
    this.#reportSlope('endpointBytes', window => window.endpointBytes)
  }

  async #measureSize (deployment: MeasuredDeployment, vms: number, endpoints: number): Promise<void> {
    await delay(Number(this.settle) * 1000)
    const idle = await this.#window(deployment, vms)
    this.report({ phase: 'idle', vms, endpoints, ...idle })
    this.#points.push({ endpointsPerVm: endpoints / vms, idle })
    if (endpoints === 0) return
    await deployment.controlLog({ outage: true })
    await delay(outageSettleMilliseconds)
    this.report({ phase: 'log outage', vms, endpoints, ...await this.#window(deployment, vms) })
  }

  /** Figures per VM and second. */
  async #window (deployment: MeasuredDeployment, vms: number): Promise<Window> {
    const startedAt = performance.now()
    const before = { uses: await deployment.uses(), log: await deployment.logCounts(), bytes: deployment.bytes }
    await delay(Number(this.seconds) * 1000)
    const after = { uses: await deployment.uses(), log: await deployment.logCounts(), bytes: deployment.bytes }
    const perVmSecond = 1000 / (performance.now() - startedAt) / vms
    const used = after.uses.map((use, index) => use.processorMilliseconds - (before.uses[index]?.processorMilliseconds ?? 0))
    return {
      processorPercent: mean(used) * vms * perVmSecond / 10,
      residentMegabytes: mean(after.uses.map(({ residentBytes }) => residentBytes)) / 1e6,
      logBytes: (after.bytes.log - before.bytes.log) * perVmSecond,
      innerBytes: (after.bytes.inner - before.bytes.inner) * perVmSecond,
      endpointBytes: (after.bytes.endpoints - before.bytes.endpoints) * perVmSecond,
      logReads: (after.log.reads - before.log.reads) * perVmSecond,
      logAppends: (after.log.appends - before.log.appends) * perVmSecond
    }
  }

  #reportSlope (name: string, value: (window: Window) => number): void {
    const slope: Slope = fitSlope(this.#points.map(({ endpointsPerVm, idle }) => [endpointsPerVm, value(idle)]))
    this.report({ slope: `${name} per coordinated endpoint`, ...slope })
  }
}
