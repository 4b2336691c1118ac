import { expect } from 'chai'
import fc from 'fast-check'
import { RuleMatcher, type MatchResult } from './matcher.js'
import { parseRules } from './parse-rules.js'

function matcherOf (...heads: string[]): RuleMatcher {
  return new RuleMatcher(parseRules(heads.map(head => `${head} idempotent class=normal deadline=5s # Anja`).join('\n'), 'rules.txt'))
}

function describeResult (result: MatchResult): string {
  if (result.outcome === 'matched') return `${result.rule.line} ${result.key}`
  return result.outcome === 'bad_key' ? `${result.rule.line} ${result.reason}` : result.outcome
}

describe('RuleMatcher', () => {
  const matcher = matcherOf(
    'GET /ponds/:pond pool=ponds key=path:pond',
    'GET /ponds/special pool=ponds key=query:pond',
    'POST /ponds/special pool=ponds key=header:X-Pond',
    'POST /ponds pool=ponds key=query:pond',
    '* /files/* pool=files',
    'GET /:area/summary pool=files')
  const cases: ReadonlyArray<readonly [request: string, expected: string, headers?: Record<string, string | string[]>]> = [
    ['GET /ponds/7', '1 7'],
    ['GET /ponds/special', '1 special'],
    ['GET /ponds/a%2Fb%20%C5%BE', '1 a/b ž'],
    ['GET /%70onds/7', '1 7'],
    ['GET /ponds/summary', '1 summary'],
    ['GET /rinks/summary', '6 undefined'],
    ['GET /ponds/', 'no_rule'],
    ['GET /ponds/7/', 'no_rule'],
    ['PUT /ponds/7', 'no_rule'],
    ['GET /ponds/%E0%A4', 'bad_path'],
    ['GET /ponds/%2e%2e', 'bad_path'],
    ['GET ponds', 'bad_path'],
    ['POST /ponds?pond=a%2Bb', '4 a+b'],
    ['POST /ponds', '4 missing'],
    ['POST /ponds?pond=', '4 missing'],
    ['POST /ponds?pond=1&pond=2', '4 ambiguous'],
    ['POST /ponds/special', '3 missing'],
    ['POST /ponds/special', '3 9', { 'x-pond': '9' }],
    ['POST /ponds/special', '3 ambiguous', { 'x-pond': ['9', '8'] }],
    ['DELETE /files/a/b', '5 undefined'],
    ['DELETE /files/', '5 undefined'],
    ['DELETE /files', 'no_rule']
  ]
  for (const [request, expected, headers = {}] of cases) {
    it(`matches ${request} ${JSON.stringify(headers)} to its rule and key or refuses it: ${expected}`, () => {
      const [, method = '', path = '', query] = /^(\S+) ([^?]*)(\?.*)?$/.exec(request) ?? []
      expect(describeResult(matcher.match({ method, path, query, headers }))).to.equal(expected)
    })
  }

  it('finds the same rule as a linear scan of the file, so that the pattern tree keeps the order of the rules', () => {
    const segment = fc.constantFrom('a', 'b', 'c', ':x')
    const pattern = fc.tuple(fc.array(segment, { maxLength: 3 }), fc.boolean()).map(([segments, rest]) =>
      '/' + [...segments.map((text, index) => text === ':x' ? `:x${index}` : text), ...(rest ? ['*'] : [])].join('/'))
    const head = fc.tuple(fc.constantFrom('GET', 'POST', '*'), pattern).map(([method, path]) => `${method} ${path} pool=p`)
    const path = fc.array(fc.constantFrom('a', 'b', 'c', 'd', ''), { maxLength: 4 }).map(segments => '/' + segments.join('/'))
    const single = (heads: readonly string[], method: string, path: string): number => heads.findIndex(head =>
      matcherOf(head).match({ method, path, headers: {} }).outcome === 'matched')
    fc.assert(fc.property(fc.array(head, { minLength: 1, maxLength: 8 }), fc.constantFrom('GET', 'POST'), path, (heads, method, path) => {
      const result = matcherOf(...heads).match({ method, path, headers: {} })
      expect(result.outcome === 'matched' ? result.rule.line - 1 : -1).to.equal(single(heads, method, path))
    }))
  })
})
