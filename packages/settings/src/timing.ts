import { z } from 'zod'

// Intervals below 10 ms would exceed the limit of the control overhead, which is 2.5 % of a core per node.
const minimumIntervalMilliseconds = 10
const maximumIntervalMilliseconds = 3_600_000

const interval = z.int().min(minimumIntervalMilliseconds).max(maximumIntervalMilliseconds)

const timingKeys = z.strictObject({
  /** Duration of a coordinator's lease, which is called a right in settings. Must be equal on all VMs. */
  rightMilliseconds: interval.default(500),
  /** Duration of a grant, measured by the clock of the endpoint. */
  grantMilliseconds: interval.default(400),
  renewMilliseconds: interval.default(100),
  heartbeatMilliseconds: interval.default(100),
  /** Time without a response after which a watcher suspects a VM, if checks over new connections fail as well. */
  suspectMilliseconds: interval.default(300),
  /** Time without an answer after which a coordinator tries a new connection to an endpoint. */
  endpointSuspectMilliseconds: interval.default(250),
  /** Delay after which the next watcher of a suspected VM acts if the previous one has not. */
  watcherStepMilliseconds: interval.default(150),
  /** Largest assumed difference between the rates of two clocks. */
  clockMarginPercent: z.number().positive().max(50).default(2),
  vmListMilliseconds: interval.default(1000),
  /** Limit of the time for a graceful shutdown. */
  shutdownMilliseconds: interval.default(30_000)
})

type TimingKeys = z.infer<typeof timingKeys>

/** A constraint between timing keys. */
interface TimingConstraint {
  readonly key: keyof TimingKeys
  readonly holds: (timing: TimingKeys) => boolean
  readonly reason: string
}

const constraints: readonly TimingConstraint[] = [
  {
    key: 'grantMilliseconds',
    holds: timing => timing.grantMilliseconds * (1 + timing.clockMarginPercent / 100) < timing.rightMilliseconds,
    reason: 'must be less than rightMilliseconds, even after adding clockMarginPercent, because a grant must not outlast the right under which it was given'
  },
  {
    key: 'renewMilliseconds',
    holds: timing => timing.renewMilliseconds * 2 < timing.grantMilliseconds,
    reason: 'must be less than half of grantMilliseconds, so that one lost renewal does not end a grant'
  },
  {
    key: 'suspectMilliseconds',
    holds: timing => timing.heartbeatMilliseconds * 2 < timing.suspectMilliseconds,
    reason: 'must be more than twice heartbeatMilliseconds, so that one lost heartbeat does not raise a suspicion'
  },
  {
    key: 'endpointSuspectMilliseconds',
    holds: timing => timing.renewMilliseconds * 2 < timing.endpointSuspectMilliseconds,
    reason: 'must be more than twice renewMilliseconds, so that one lost renewal does not raise a suspicion'
  },
  {
    key: 'watcherStepMilliseconds',
    holds: timing => timing.heartbeatMilliseconds < timing.watcherStepMilliseconds,
    reason: 'must be more than heartbeatMilliseconds, so that a later watcher usually sees the record of an earlier one before it acts'
  },
  {
    key: 'shutdownMilliseconds',
    holds: timing => timing.rightMilliseconds * 2 < timing.shutdownMilliseconds,
    reason: 'must be more than twice rightMilliseconds, so that endpoints can be handed over before the process exits'
  }
]

/** Schema of the section `[timing]`, with the constraints between its keys. */
export const timingSchema = timingKeys.superRefine((timing, context) => {
  for (const { key, holds, reason } of constraints) {
    if (!holds(timing)) context.addIssue({ code: 'custom', path: [key], message: `${timing[key]} ${reason}` })
  }
}).readonly()
