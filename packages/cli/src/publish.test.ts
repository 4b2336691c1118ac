import { randomUUID } from 'node:crypto'
import { expect } from 'chai'
import { noVersion } from '@briarsaddle/ownership'
import { MemoryLog } from './memory-log.test.js'
import { publishRules } from './publish.js'

function rulesText (deadline: string): string {
  return `POST /dispatches pool=dispatch at-most-once class=prompt deadline=${deadline} # Youssef\n`
}

function rulesBody (base: number, text: string): string {
  return JSON.stringify({ id: randomUUID(), kind: 'rules', base, text, author: 'other' })
}

describe('publishRules', () => {
  it('reports the version in force after a publication, as the log shows it', async () => {
    const log = new MemoryLog()
    const first = await publishRules(log, { text: rulesText('1s'), author: 'leila', base: noVersion })
    expect(first).to.include({ outcome: 'published', version: 0 })
    const second = await publishRules(log, { text: rulesText('2s'), author: 'leila', base: 0 })
    expect(second).to.include({ outcome: 'published', version: 1 })
  })

  it('appends nothing when the base is not in force, so that rules of another operator are not overwritten unseen', async () => {
    const log = new MemoryLog()
    log.bodies.push(rulesBody(noVersion, rulesText('1s')), rulesBody(0, rulesText('2s')))
    const result = await publishRules(log, { text: rulesText('3s'), author: 'leila', base: 0 })
    expect(result).to.include({ outcome: 'stale_base', version: 1, author: 'other' })
    expect(result.difference.changes.map(change => change.kind)).to.deep.equal(['changed'])
    expect(log.bodies).to.have.length(2)
  })

  it('reports the version and author that won a race and the difference, instead of reporting a void record as published', async () => {
    const log = new MemoryLog()
    log.beforeAppend = () => log.bodies.push(rulesBody(noVersion, rulesText('2s')))
    const result = await publishRules(log, { text: rulesText('3s'), author: 'leila', base: noVersion })
    expect(result).to.include({ outcome: 'lost', version: 0, author: 'other' })
    expect(result.difference.text).to.include('-1: POST /dispatches').and.to.include('deadline=3s')
  })

  it('finds the record by its id when the answer is lost, so that a publication that took effect is not reported as failed', async () => {
    const log = new MemoryLog()
    log.nextAppend = 'lost'
    expect(await publishRules(log, { text: rulesText('1s'), author: 'leila', base: noVersion })).to.include({ outcome: 'published', version: 0 })
  })

  it('uses the first copy of a record that a proxy appended twice, because the second copy is void', async () => {
    const log = new MemoryLog()
    const append = log.append.bind(log)
    log.append = async body => {
      await append(body)
      return await append(body)
    }
    expect(await publishRules(log, { text: rulesText('1s'), author: 'leila', base: noVersion })).to.include({ outcome: 'published', version: 0 })
  })

  it('reports a publication whose text is already in force as unchanged, without appending again', async () => {
    const log = new MemoryLog()
    log.bodies.push(rulesBody(noVersion, rulesText('1s')))
    expect(await publishRules(log, { text: rulesText('1s'), author: 'leila', base: noVersion })).to.include({ outcome: 'unchanged', version: 0 })
    expect(log.bodies).to.have.length(1)
  })

  it('distinguishes "not written" from "written, result unknown", because only the first is safe to repeat without a check', async () => {
    const refused = new MemoryLog()
    refused.nextAppend = 'refused'
    const publication = { text: rulesText('1s'), author: 'leila', base: noVersion }
    const unavailable: unknown = await publishRules(refused, publication).catch((error: unknown) => error)
    expect(unavailable).to.have.property('code', 'log_unavailable')
    const down = new MemoryLog()
    down.downAfterAppend = true
    const unknown: unknown = await publishRules(down, publication, { confirmTimeoutMilliseconds: 100 }).catch((error: unknown) => error)
    expect(unknown).to.have.property('code', 'outcome_unknown')
  })
})
