import { expect } from 'chai'
import { diffRules } from './diff-rules.js'

describe('diffRules', () => {
  it('numbers removed lines as in the old file and added lines as in the new file, so that an operator finds them', () => {
    const { changes, text } = diffRules('# head\nGET /a x\nGET /b y\nGET /c z\n', '# head\nGET /b y2\nGET /c z\nGET /d w\n')
    expect(changes).to.deep.equal([
      { kind: 'removed', oldLine: 2, oldText: 'GET /a x' },
      { kind: 'changed', oldLine: 3, oldText: 'GET /b y', newLine: 2, newText: 'GET /b y2' },
      { kind: 'added', newLine: 4, newText: 'GET /d w' }
    ])
    expect(text).to.equal('-2: GET /a x\n-3: GET /b y\n+2: GET /b y2\n+4: GET /d w')
  })

  it('ignores line endings, so that publishing an equal file again is not reported as a change', () => {
    expect(diffRules('GET /a x\r\nGET /b y\r\n', 'GET /a x\nGET /b y')).to.deep.equal({ changes: [], text: '' })
  })
})
