import { describeError, Logger } from '@briarsaddle/common'
import { mergeKeyDemand } from '@briarsaddle/key-ranges'
import type { EndpointKeyLoad, PeerClient } from '@briarsaddle/protocol'
import type { RangeControlHandler } from '../request/inner-handlers.js'
import type { ReadPositionMonitor } from './read-position-monitor.js'
import { DemandSource, type MeasuredDemand } from './key-leader.js'

const logger = new Logger('demand')
const callMilliseconds = 400
// Concurrent calls. If all VMs answered at once, a VM with a third of a core would need longer than the timeout of a call to read
// the answers, and connections with overdue calls are closed.
const maximumConcurrentCalls = 12

/** The other VMs, which are asked for the demand that they measured. */
export interface DemandPeers {
  readonly vms: readonly string[]
  get (vm: string): Pick<PeerClient, 'fetchKeyLoads'> | undefined
}

/** Collects the demand from all VMs that coordinate endpoints, including this VM. */
export class PeerDemand extends DemandSource {
  readonly #peers: DemandPeers
  readonly #own: Pick<RangeControlHandler, 'fetchKeyLoads'>
  readonly #readPositions: Pick<ReadPositionMonitor, 'own' | 'observePeer'>

  constructor (peers: DemandPeers, own: Pick<RangeControlHandler, 'fetchKeyLoads'>, readPositions: Pick<ReadPositionMonitor, 'own' | 'observePeer'>) {
    super()
    this.#readPositions = readPositions
    this.#peers = peers
    this.#own = own
  }

  override async collect (): Promise<ReadonlyMap<string, MeasuredDemand>> {
    const reports = [...(await this.#own.fetchKeyLoads(this.#readPositions.own)).endpoints]
    const vms = [...this.#peers.vms]
    const askRemaining = async (): Promise<void> => {
      for (let vm = vms.pop(); vm !== undefined; vm = vms.pop()) reports.push(...await this.#ask(vm))
    }
    await Promise.all(Array.from({ length: maximumConcurrentCalls }, askRemaining))
    const demand = new Map<string, MeasuredDemand>()
    for (const report of reports) demand.set(report.endpoint, addReport(demand.get(report.endpoint), report))
    return demand
  }

  async #ask (vm: string): Promise<readonly EndpointKeyLoad[]> {
    try {
      const response = await this.#peers.get(vm)?.fetchKeyLoads(this.#readPositions.own, callMilliseconds)
      if (response === undefined) return []
      this.#readPositions.observePeer(response)
      return response.endpoints
    } catch (error) {
      logger.info('a VM did not report its demand', { peer: vm, error: describeError(error) })
      return []
    }
  }
}

/**
 * Adds up the reports on one endpoint: two VMs may both have sent to it, for example while its coordinator changed. Service times
 * are weighted by the slots that they kept busy; 0 means not known.
 */
function addReport (before: MeasuredDemand | undefined, { busySlots, serviceMilliseconds, keys }: EndpointKeyLoad): MeasuredDemand {
  if (before === undefined) return { busySlots, serviceMilliseconds, keys: mergeKeyDemand(keys) }
  return {
    busySlots: before.busySlots + busySlots,
    serviceMilliseconds: weightedMean([before, { busySlots, serviceMilliseconds }]),
    keys: mergeKeyDemand([...before.keys, ...keys])
  }
}

function weightedMean (reports: ReadonlyArray<Pick<MeasuredDemand, 'busySlots' | 'serviceMilliseconds'>>): number {
  const known = reports.filter(report => report.serviceMilliseconds > 0)
  const weight = known.reduce((sum, report) => sum + report.busySlots, 0)
  if (weight === 0) return known[0]?.serviceMilliseconds ?? 0
  return known.reduce((sum, report) => sum + report.serviceMilliseconds * report.busySlots, 0) / weight
}
