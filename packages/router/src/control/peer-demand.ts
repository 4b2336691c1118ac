import { describeError, Logger } from '@briarsaddle/common'
import type { EndpointKeyLoad, PeerPool } from '@briarsaddle/protocol'
import type { RangeControlHandler } from '../request/inner-handlers.js'
import { DemandSource, type MeasuredDemand } from './key-leader.js'

const logger = new Logger('demand')
const callMilliseconds = 400

/** Collects demand from the VMs that coordinate endpoints, this one included. */
export class PeerDemand extends DemandSource {
  readonly #peers: PeerPool
  readonly #own: RangeControlHandler

  constructor (peers: PeerPool, own: RangeControlHandler) {
    super()
    this.#peers = peers
    this.#own = own
  }

  override async collect (): Promise<ReadonlyMap<string, MeasuredDemand>> {
    const reports = await Promise.all([this.#own.fetchKeyLoads().then(({ endpoints }) => endpoints), ...this.#peers.vms.map(async vm => await this.#ask(vm))])
    const demand = new Map<string, MeasuredDemand>()
    for (const report of reports.flat()) demand.set(report.endpoint, add(demand.get(report.endpoint), report))
    return demand
  }

  async #ask (vm: string): Promise<readonly EndpointKeyLoad[]> {
    try {
      return (await this.#peers.get(vm)?.fetchKeyLoads(callMilliseconds))?.endpoints ?? []
    } catch (error) {
      logger.info('a VM did not report its demand', { vm, error: describeError(error) })
      return []
    }
  }
}

/** Two VMs may both have sent to an endpoint, for example while its coordinator changed. */
function add (before: MeasuredDemand | undefined, { busySlots, serviceMilliseconds, keys }: EndpointKeyLoad): MeasuredDemand {
  if (before === undefined) return { busySlots, serviceMilliseconds, keys }
  return {
    busySlots: before.busySlots + busySlots,
    serviceMilliseconds: before.busySlots > busySlots ? before.serviceMilliseconds : serviceMilliseconds,
    keys: [...before.keys, ...keys]
  }
}
