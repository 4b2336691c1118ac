/** State that was read from a topic of the platform's log, with the position up to which it is complete. */
export interface TopicState<State> {
  /** Offset of the next record. */
  readonly position: number
  readonly state: State
}

/** A state that is kept in a topic of the platform's log. */
export abstract class StateTopic<State> {
  /** Reads the newest state. Throws `log_unavailable`. */
  abstract read (signal: AbortSignal): Promise<TopicState<State>>
  /**
   * Resolves to the state after `current`, or to undefined when nothing was added within the wait.
   * Throws `log_unavailable`, or `log_forgotten` when the records after `current` were deleted.
   */
  abstract next (current: TopicState<State>, waitMilliseconds: number, signal: AbortSignal): Promise<TopicState<State> | undefined>
}

/** A state that the VMs themselves write. */
export abstract class WritableTopic<State> extends StateTopic<State> {
  /**
   * Writes a state if nothing was added after `position`, and returns the new position. Throws `lost_race`,
   * `log_unavailable` when the state surely was not written, and `log_unknown` when it may have been or may still be.
   */
  abstract write (state: State, position: number, signal: AbortSignal): Promise<number>
}
