/** State that was read from a topic of the platform's log, with the position in the topic that it includes. */
export interface TopicState<State> {
  /** Position of the next record, see `logPosition`. */
  readonly position: number
  readonly state: State
}

/** A state that is stored in a topic of the platform's log. */
export abstract class StateTopic<State> {
  /** Reads the latest state. Throws `log_unavailable`. */
  abstract read (signal: AbortSignal): Promise<TopicState<State>>
  /**
   * Resolves to a state newer than `current`, or to undefined when no record was added within `waitMilliseconds`.
   * Throws `log_unavailable`, or `log_forgotten` when the records after `current` were deleted, or the log went back.
   */
  abstract next (current: TopicState<State>, waitMilliseconds: number, signal: AbortSignal): Promise<TopicState<State> | undefined>
}

/** A state topic that the VMs also write. */
export abstract class WritableTopic<State> extends StateTopic<State> {
  /**
   * Writes a state if no record was added after `position` (a conditional write), and returns the new position. Throws
   * `lost_race` when a record was added, `log_unavailable` when the state was certainly not written, and `log_unknown` when
   * the write may have been carried out or may still be.
   */
  abstract write (state: State, position: number, signal: AbortSignal): Promise<number>
}
