/** Creates the state dump of this process. */
export abstract class StateDump {
  /** Returns plain data that can be serialized as JSON. */
  abstract dump (): Promise<unknown>
}

/** Result of an operation. */
export interface OperationResult {
  /** Log offset of the record that the operation appended. */
  readonly offset: number
}

/** Operations that append records on behalf of an operator. */
export abstract class AdministrationOperations {
  /** Marks an endpoint as leaving. Throws `unknown_endpoint`, `conflict`, `log_unavailable` or `log_unknown`. */
  abstract drain (endpoint: string, author: string): Promise<OperationResult>
  /** Removes permanently lost VMs from the witness list. Throws `unknown_witness`, `conflict`, `log_unavailable` or `log_unknown`. */
  abstract releaseWitnesses (lost: readonly string[], author: string): Promise<OperationResult>
}
