import { expect } from 'chai'
import { parseRules } from './parse-rules.js'
import { RuleFileError } from './rule-file-error.js'

const valid = 'POST /ponds/:pond/orders  pool=ponds key=path:pond at-most-once class=normal deadline=20s  # asked for by Youssef, dispatch desk'

function findingsOf (text: string, maximumBytes?: number): string[] {
  try {
    parseRules(text, 'rules.txt', maximumBytes)
  } catch (error) {
    if (error instanceof RuleFileError) return error.findings.map(({ line, code }) => `${line} ${code}`)
    throw error
  }
  return []
}

describe('parseRules', () => {
  it('reads every field, so that each request is handled as its rule states', () => {
    const [rule] = parseRules(`# Ponds\r\n\r\n${valid}\r\n`, 'rules.txt').rules
    expect(rule).to.deep.equal({
      line: 3,
      method: 'POST',
      pattern: '/ponds/:pond/orders',
      pool: 'ponds',
      key: { from: 'path', name: 'pond' },
      idempotent: false,
      serviceClass: 'normal',
      deadlineMilliseconds: 20_000,
      requestedBy: 'asked for by Youssef, dispatch desk'
    })
  })

  const refused: ReadonlyArray<readonly [fault: string, line: string, code: string]> = [
    ['a missing comment', valid.replace(/ {2}#.*/, ''), 'missing_comment'],
    ['a comment that names nobody', valid.replace(/#.*/, '# -'), 'missing_comment'],
    ['an unknown field', valid.replace('class=', 'klass=x class='), 'unknown_field'],
    ['a duplicate field', valid.replace('class=', 'pool=ponds class='), 'duplicate_field'],
    ['both repetition flags', valid.replace('at-most-once', 'at-most-once idempotent'), 'duplicate_field'],
    ['no repetition flag', valid.replace('at-most-once', ''), 'missing_field'],
    ['no pool', valid.replace('pool=ponds', ''), 'missing_field'],
    ['a pool without a name', valid.replace('pool=ponds', 'pool='), 'bad_pool'],
    ['a field without a value', valid.replace('class=normal', 'class'), 'bad_field'],
    ['a duration without a unit', valid.replace('20s', '20'), 'bad_duration'],
    ['a duration of zero', valid.replace('20s', '0s'), 'bad_duration'],
    ['a duration over the maximum', valid.replace('20s', '25h'), 'bad_duration'],
    ['a key that the pattern lacks', valid.replace('path:pond', 'path:lake'), 'unknown_key_name'],
    ['a key from an unknown place', valid.replace('path:pond', 'body:pond'), 'bad_key'],
    ['an unknown class', valid.replace('normal', 'fast'), 'bad_class'],
    ['a mistyped method', valid.replace('POST', 'PSOT'), 'bad_method'],
    ['a wildcard inside the pattern', valid.replace('/orders', '/*/orders'), 'bad_pattern'],
    ['a parameter that occurs twice', valid.replace('/orders', '/:pond'), 'bad_pattern']
  ]
  for (const [fault, line, code] of refused) {
    it(`refuses ${fault} with its line number`, () => {
      expect(findingsOf(`# heading\n${line}`)).to.include(`2 ${code}`)
    })
  }

  it('reports all findings at once, so that an operator can fix them before the next attempt to publish', () => {
    const text = [valid.replace(/ {2}#.*/, ''), valid, valid.replace('20s', 'soon').replace('normal', 'fast')].join('\n')
    expect(findingsOf(text)).to.deep.equal(['1 missing_comment', '3 bad_class', '3 bad_duration'])
  })

  it('refuses a pool used both with and without a key, which would send keyed work to a server that does not own the key', () => {
    expect(findingsOf(`${valid}\n${valid.replace('key=path:pond', '').replace('/orders', '/sheets')}`)).to.deep.equal(['2 mixed_pool'])
  })

  it('refuses a file over the size limit, which is counted in bytes and not in characters', () => {
    const text = valid.replace('Youssef', 'Živa')
    expect(findingsOf(text, text.length)).to.deep.equal(['1 file_too_long'])
    expect(findingsOf(text, Buffer.byteLength(text))).to.deep.equal([])
  })

  it('warns about rules that never match because an earlier rule matches all of their requests', () => {
    const rule = (head: string): string => `${head} pool=status idempotent class=prompt deadline=1s # Mateja`
    const heads = ['GET /status/:sheet', 'GET /status/now', 'POST /status/now', '* /files/*', 'GET /files/:name/meta', 'GET /files', 'GET /:any/now', 'GET /status/*']
    const { warnings } = parseRules(heads.map(rule).join('\n'), 'rules.txt')
    expect(warnings.map(({ line, code }) => `${line} ${code}`)).to.deep.equal(['2 unreachable', '5 unreachable'])
  })
})
