import type { Holder } from '@briarsaddle/key-ranges'
import type { EndpointEntry } from '../endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type GrantReply, type ProbeResult, type ReleaseReply } from '../endpoint-transport.js'

/** What an endpoint does with requests: `hangs` until they are cancelled. */
export type EndpointBehaviour = 'answers' | 'breaks' | 'hangs' | 'unreachable'

const answered: EndpointReply = { kind: 'answered', status: 200, headers: [], body: Buffer.alloc(0), lengthKnown: true, load: undefined, limit: 'none' }

/** Endpoints of a test that behave as they are told. */
export class ScriptedEndpoints extends EndpointTransport {
  /** Behaviour by endpoint id. */
  readonly behaviours = new Map<string, EndpointBehaviour>()
  /** Behaviour of the other endpoints. */
  behaviour: EndpointBehaviour = 'answers'
  /** Result of probes; by default whether requests would reach the endpoint. */
  probeResult: ProbeResult | undefined
  probes = 0

  override async send ({ id }: EndpointEntry, _request: unknown, signal: AbortSignal): Promise<EndpointReply> {
    const behaviour = this.#behaviourOf(id)
    if (behaviour === 'answers') return answered
    if (behaviour === 'unreachable') return { kind: 'unreachable' }
    if (behaviour === 'breaks') return { kind: 'broken', reason: 'connection_broken' }
    await new Promise(resolve => signal.addEventListener('abort', resolve))
    return { kind: 'broken', reason: 'deadline_exceeded' }
  }

  override async grant (): Promise<GrantReply> { return { kind: 'granted', connection: 1 } }
  override async release (): Promise<ReleaseReply> { return { kind: 'released', handover: '' } }

  override async reach (holder: Holder): Promise<boolean> {
    return await this.probe(holder) === 'reached'
  }

  override async probe ({ endpoint }: Holder): Promise<ProbeResult> {
    this.probes++
    return this.probeResult ?? (this.#behaviourOf(endpoint) === 'answers' ? 'reached' : 'silent')
  }

  override keepOnly (): void {}

  #behaviourOf (endpoint: string): EndpointBehaviour {
    return this.behaviours.get(endpoint) ?? this.behaviour
  }
}
