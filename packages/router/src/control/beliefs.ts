import type { Clock } from '@briarsaddle/common'
import type { TopicFollower } from './topic-follower.js'

type Followed = Pick<TopicFollower<unknown>, 'current' | 'confirmedAt'>

/**
 * How old the states are by which this VM decides. An age is the time since the start of the last read that confirmed the
 * state; undefined before the first. A read of the key map or the routing table may wait for 10 s for a change.
 */
export interface BeliefAges {
  readonly keyMapPosition: number | undefined
  readonly keyMapAgeMilliseconds: number | undefined
  readonly routingAgeMilliseconds: number | undefined
  readonly directoryAgeMilliseconds: number | undefined
}

/** What the ages are taken from. */
export interface BeliefSources {
  readonly map: Followed
  readonly routing: Followed
  readonly directory: Followed
}

/** Returns the ages of what this VM believes. */
export function beliefAges (clock: Clock, { map, routing, directory }: BeliefSources): BeliefAges {
  const now = clock.now()
  const age = ({ confirmedAt }: Followed): number | undefined => confirmedAt === -Infinity ? undefined : Math.round(now - confirmedAt)
  return { keyMapPosition: map.current?.position, keyMapAgeMilliseconds: age(map), routingAgeMilliseconds: age(routing), directoryAgeMilliseconds: age(directory) }
}
