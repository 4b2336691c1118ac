import { z } from 'zod'
import { HttpStandIn, sendJson } from './http-stand-in.js'

const vmSchema = z.strictObject({
  id: z.string().min(1),
  role: z.enum(['entry', 'endpoint']),
  pool: z.string().min(1).optional(),
  dataCentre: z.string().min(1),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  checks: z.boolean().optional(),
  state: z.enum(['live', 'leaving'])
}).readonly()

const listSchema = z.array(vmSchema)
  .refine(vms => new Set(vms.map(vm => vm.id)).size === vms.length, 'two VMs have the same id')
  .readonly()

/** Settings of the VM list stand-in. */
export interface VmListServiceOptions {
  /** Time after which a change becomes visible. */
  readonly lagMilliseconds: number
}

/** In-memory stand-in for the platform's VM list. */
export class VmListService extends HttpStandIn {
  readonly #lagMilliseconds: number
  /** The visible list, followed by the changes that are not visible yet. */
  readonly #versions: Array<{ readonly visibleAt: number, readonly vms: z.output<typeof listSchema> }> = [{ visibleAt: 0, vms: [] }]

  constructor (options: Partial<VmListServiceOptions> = {}) {
    super()
    this.#lagMilliseconds = options.lagMilliseconds ?? 0
    this.app.get('/vms', (_request, response) => sendJson(response, 200, this.#visible()))
    this.control('/_control/vms', listSchema, vms => {
      this.#versions.push({ visibleAt: performance.now() + this.#lagMilliseconds, vms })
      return { vms: vms.length, lagMilliseconds: this.#lagMilliseconds }
    })
  }

  #visible (): z.output<typeof listSchema> {
    while (this.#versions[1] !== undefined && this.#versions[1].visibleAt <= performance.now()) this.#versions.shift()
    return this.#versions[0]?.vms ?? []
  }
}
