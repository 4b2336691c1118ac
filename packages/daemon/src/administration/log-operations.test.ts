import { expect } from 'chai'
import { errorCode } from '@briarsaddle/common'
import { noVersion, type ControlState } from '@briarsaddle/ownership'
import { parseRules, type RuleFile } from '@briarsaddle/rules'
import { ControlView } from '../contracts.js'
import type { Proposal } from '../control/record-writer.js'
import { LogOperations } from './log-operations.js'

class TestView extends ControlView {
  state: ControlState = {
    position: 9,
    rules: { version: noVersion, text: '', author: '' },
    witnesses: { version: 1, vms: ['vm-1', 'vm-2'], pending: { offset: 5, vms: ['vm-2', 'vm-3'] } },
    endpoints: new Map([['ponds-1', {
      description: { id: 'ponds-1', pool: 'ponds', dataCentre: 'dc-a', host: '127.0.0.1', port: 1, checks: true },
      coordinator: { vm: 'vm-1', token: 3, standby: 'vm-2' },
      leaving: false,
      version: 3
    }]]),
    pools: new Map(),
    recentIds: []
  }

  rules: RuleFile = parseRules('', 'rules.txt')
  async waitForPosition (): Promise<boolean> { return true }
}

async function codeOf (operation: Promise<unknown>): Promise<string> {
  return await operation.then(() => 'success', (error: unknown) => errorCode(error))
}

describe('LogOperations', () => {
  function prepare (effect: (view: TestView, offset: number) => void): { readonly operations: LogOperations, readonly proposals: Proposal[] } {
    const view = new TestView()
    const proposals: Proposal[] = []
    const append = async (proposal: Proposal): Promise<number> => {
      proposals.push(proposal)
      effect(view, 10)
      return 10
    }
    return { operations: new LogOperations(view, { append }), proposals }
  }

  const readWithoutEffect = (view: TestView, position: number): void => { view.state = { ...view.state, position } }

  it('reports a record that this VM has not read as unknown, so that an operation that took effect is not reported as refused', async () => {
    const { operations } = prepare(() => {})
    expect(await codeOf(operations.drain('ponds-1', 'leila'))).to.equal('log_unknown')
    expect(await codeOf(operations.releaseWitnesses(['vm-1'], 'leila'))).to.equal('log_unknown')
  })

  it('reports a record that a concurrent one made void as a conflict, so that the operator tries again', async () => {
    const { operations } = prepare(readWithoutEffect)
    expect(await codeOf(operations.drain('ponds-1', 'leila'))).to.equal('conflict')
    expect(await codeOf(operations.releaseWitnesses(['vm-1'], 'leila'))).to.equal('conflict')
  })

  it('releases a VM that is only in the pending list, where a lost VM would block every majority', async () => {
    const { operations, proposals } = prepare((view, position) => {
      view.state = { ...view.state, position, witnesses: { version: 10, vms: ['vm-1', 'vm-2'], pending: { offset: 5, vms: ['vm-2'] } } }
    })
    expect(await operations.releaseWitnesses(['vm-3'], 'leila')).to.deep.equal({ offset: 10 })
    expect(proposals).to.deep.equal([{ kind: 'witnessesReleased', base: 1, lost: ['vm-3'], author: 'leila' }])
  })

  it('appends nothing for unknown names or for a release that would leave an empty list, which would make every majority trivial', async () => {
    const { operations, proposals } = prepare(readWithoutEffect)
    expect(await codeOf(operations.drain('ponds-9', 'leila'))).to.equal('unknown_endpoint')
    expect(await codeOf(operations.releaseWitnesses(['vm-9'], 'leila'))).to.equal('unknown_witness')
    expect(await codeOf(operations.releaseWitnesses(['vm-1', 'vm-2'], 'leila'))).to.equal('conflict')
    expect(await codeOf(operations.releaseWitnesses(['vm-2', 'vm-3'], 'leila'))).to.equal('conflict')
    expect(proposals).to.deep.equal([])
  })
})
