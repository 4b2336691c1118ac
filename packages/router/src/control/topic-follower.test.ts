import { expect } from 'chai'
import { BriarsaddleError, delay, LifeCycle, MonotonicClock } from '@briarsaddle/common'
import { StateTopic, type TopicState } from './state-topic.js'
import { TopicFollower } from './topic-follower.js'

class FailingTopic extends StateTopic<string> {
  answers = false

  override async read (): Promise<TopicState<string>> {
    if (!this.answers) throw new BriarsaddleError('the log does not answer', { code: 'log_unavailable', step: 'read' })
    return { position: 1, state: 'read' }
  }

  override async next (): Promise<undefined> { return undefined }
}

describe('TopicFollower', () => {
  // Guards against a leader that learns too late that the log went back, after an outage that has made the pause between its reads long.
  it('reads at once when it is told that the log answers again', async () => {
    const lifeCycle = new LifeCycle('test')
    const topic = new FailingTopic()
    const follower = new TopicFollower({ name: 'test', topic, clock: new MonotonicClock(), waitMilliseconds: 10, pauseMilliseconds: 10, isNewer: () => true })
    follower.start(lifeCycle)
    // Pauses of 100, 200 and 400 ms are over by then, and one of 800 ms has begun.
    await delay(800)
    topic.answers = true
    follower.restart()
    await delay(50)
    expect(follower.current?.state).to.equal('read')
    await lifeCycle.close()
  })
})
