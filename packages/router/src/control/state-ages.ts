import type { Clock } from '@briarsaddle/common'
import type { TopicFollower } from './topic-follower.js'

type Followed = Pick<TopicFollower<unknown>, 'current' | 'confirmedAt' | 'confirmedByPeerAt'>

/**
 * Ages of the states on which this VM bases its decisions, for logs and metrics. An age is the time since the start of the
 * last successful read, by this VM or the one from which it receives the state; undefined before the first. A read of the key map or the routing table may wait 1 s for a change,
 * so an age of twice that is normal.
 */
export interface StateAges {
  readonly keyMapPosition: number | undefined
  readonly keyMapAgeMilliseconds: number | undefined
  readonly routingAgeMilliseconds: number | undefined
  readonly directoryAgeMilliseconds: number | undefined
}

/** The states whose ages are reported. */
export interface StateAgeSources {
  readonly map: Followed
  readonly routing: Followed
  readonly directory: Followed
}

/** Returns the ages of the states that this VM holds. */
export function stateAges (clock: Clock, { map, routing, directory }: StateAgeSources): StateAges {
  const now = clock.now()
  const age = ({ confirmedAt, confirmedByPeerAt }: Followed): number | undefined => {
    const latest = Math.max(confirmedAt, confirmedByPeerAt)
    return latest === -Infinity ? undefined : Math.round(now - latest)
  }
  return { keyMapPosition: map.current?.position, keyMapAgeMilliseconds: age(map), routingAgeMilliseconds: age(routing), directoryAgeMilliseconds: age(directory) }
}
