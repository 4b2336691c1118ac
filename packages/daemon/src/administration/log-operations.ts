import { BriarsaddleError } from '@briarsaddle/common'
import type { ControlView } from '../contracts.js'
import type { Proposal } from '../control/record-writer.js'
import { AdministrationOperations, type OperationResult } from './operations.js'

/** Appends records to the control stream for operators. */
export interface OperatorLog {
  /** Appends a record, waits for a limited time until this VM has read it, and resolves to its offset. Throws `log_unavailable` or `log_unknown`. */
  append (proposal: Proposal): Promise<number>
}

/** Carries out operations by appending records to the control stream. */
export class LogOperations extends AdministrationOperations {
  readonly #view: ControlView
  readonly #log: OperatorLog

  constructor (view: ControlView, log: OperatorLog) {
    super()
    this.#view = view
    this.#log = log
  }

  override async drain (endpoint: string, author: string): Promise<OperationResult> {
    const step = 'drain endpoint'
    const known = this.#view.state.endpoints.get(endpoint)
    if (known === undefined) throw new BriarsaddleError(`endpoint ${endpoint} is not known`, { code: 'unknown_endpoint', step })
    const offset = await this.#append({ kind: 'drain', base: known.version, endpoint, author }, step)
    const leaving = this.#view.state.endpoints.get(endpoint)?.leaving ?? true
    if (!leaving) throw new BriarsaddleError(`endpoint ${endpoint} changed at the same time; try again`, { code: 'conflict', step })
    return { offset }
  }

  override async releaseWitnesses (lost: readonly string[], author: string): Promise<OperationResult> {
    const step = 'release witnesses'
    const { witnesses: { version, vms, pending } } = this.#view.state
    const missing = lost.find(vm => !vms.includes(vm) && pending?.vms.includes(vm) !== true)
    if (missing !== undefined) throw new BriarsaddleError(`${missing} is not a witness`, { code: 'unknown_witness', step })
    // An empty list would make every majority trivial.
    const isEmptied = [vms, pending?.vms ?? vms].some(list => list.every(vm => lost.includes(vm)))
    if (isEmptied) throw new BriarsaddleError('the last witness cannot be released', { code: 'conflict', step })
    const offset = await this.#append({ kind: 'witnessesReleased', base: version, lost, author }, step)
    const { witnesses } = this.#view.state
    if ([...witnesses.vms, ...witnesses.pending?.vms ?? []].some(vm => lost.includes(vm))) {
      throw new BriarsaddleError('the witness list changed at the same time; try again', { code: 'conflict', step })
    }
    return { offset }
  }

  /** Appends a record and checks that this VM has read it, because only the state shows whether the record took effect. */
  async #append (proposal: Proposal, step: string): Promise<number> {
    const offset = await this.#log.append(proposal)
    if (this.#view.state.position >= offset) return offset
    throw new BriarsaddleError(`record ${offset} was written, but this VM has not read it yet; check with "briarsaddle state"`, { code: 'log_unknown', step })
  }
}
