import { expect } from 'chai'
import { administrationToken, loadSettings, parseSettings } from './parse-settings.js'
import { SettingsError } from './settings-error.js'

const sections: Readonly<Record<string, string>> = {
  vm: 'id = "entry-1"\ndataCentre = "rabat"',
  administration: 'token = "0123456789abcdef"',
  platform: 'logUrl = "http://127.0.0.1:7001"\nvmListUrl = "http://127.0.0.1:7002"'
}

function settingsText (changes: Readonly<Record<string, string>> = {}): string {
  return Object.entries({ ...sections, ...changes }).map(([name, body]) => `[${name}]\n${body}\n`).join('\n')
}

function findingsOf (text: string): string[] {
  try {
    parseSettings(text, 'briarsaddle.toml')
  } catch (error) {
    if (error instanceof SettingsError) return error.findings.map(({ path, reason }) => `${path}: ${reason}`)
    throw error
  }
  return []
}

describe('parseSettings', () => {
  it('fills in the defaults, so that a short file starts a daemon with the documented values', () => {
    const settings = parseSettings(settingsText(), 'briarsaddle.toml')
    expect(settings.listen.callers).to.deep.equal({ host: '127.0.0.1', port: 8080 })
    expect(settings.timing).to.include({ rightMilliseconds: 500, grantMilliseconds: 400, renewMilliseconds: 100, clockMarginPercent: 2 })
    expect(settings.limits.endpointConnections).to.equal(90)
    expect(settings.experiments).to.deep.equal({ scheduling: 'classes', endpointChoice: 'two-choices', admission: true, retryBudget: true, longJobRelief: true })
    expect(Object.isFrozen(settings.timing)).to.equal(true)
  })

  it('reports all errors at once, each with its key path, so that an operator need not start the daemon once per error', () => {
    const findings = findingsOf(settingsText({
      vm: 'id = "entry 1"',
      listen: 'administration = "10.0.0.1:7080"\ncallers = "localhost:8080"',
      limits: 'maximumBodyBites = 5\nmaximumBodyBytes = "5"',
      timing: 'grantMilliseconds = 500',
      extra: 'a = 1'
    }))
    expect(findings.map(finding => finding.split(':')[0])).to.have.members([
      'vm.id', 'vm.dataCentre', 'listen.callers', 'listen.administration', 'limits.maximumBodyBites', 'limits.maximumBodyBytes', 'timing.grantMilliseconds', 'extra'
    ])
  })

  const refused: ReadonlyArray<readonly [fault: string, changes: Readonly<Record<string, string>>, path: string]> = [
    ['a grant that may outlast its lease when clocks differ by the clock margin', { timing: 'grantMilliseconds = 495' }, 'timing.grantMilliseconds'],
    ['a renewal interval at which one lost renewal ends a grant', { timing: 'renewMilliseconds = 200\nendpointSuspectMilliseconds = 450' }, 'timing.renewMilliseconds'],
    ['a suspicion after a single lost heartbeat', { timing: 'suspectMilliseconds = 200' }, 'timing.suspectMilliseconds'],
    ['a suspicion after a single lost renewal', { timing: 'endpointSuspectMilliseconds = 200' }, 'timing.endpointSuspectMilliseconds'],
    ['two tokens', { administration: `${sections['administration']}\ntokenEnvironment = "TOKEN"` }, 'administration'],
    ['no token', { administration: '' }, 'administration'],
    ['a token that is too short', { administration: 'token = "short"' }, 'administration.token'],
    ['a remote administration address that was not allowed', { listen: 'administration = "0.0.0.0:7080"' }, 'listen.administration'],
    ['the same address for two servers', { listen: 'inner = "127.0.0.1:8080"' }, 'listen.inner'],
    ['a log address with a path, which would be ignored', { platform: sections['platform']?.replace('7001', '7001/logs') ?? '' }, 'platform.logUrl'],
    ['a host name', { listen: 'inner = "localhost:9080"' }, 'listen.inner'],
    ['a port out of range', { listen: 'inner = "127.0.0.1:65536"' }, 'listen.inner']
  ]
  for (const [fault, changes, path] of refused) {
    it(`refuses ${fault}`, () => {
      const findings = findingsOf(settingsText(changes))
      expect(findings).to.have.length(1)
      expect(findings[0]).to.match(new RegExp(`^${path.replace('.', '\\.')}: .{10}`))
    })
  }

  it('accepts port 0, IPv6 addresses and a remote administration address that is allowed', () => {
    const text = settingsText({ listen: 'callers = "127.0.0.1:0"\ninner = "127.0.0.1:0"\nadministration = "[fd00::1]:7080"', administration: `${sections['administration']}\nallowRemote = true` })
    expect(parseSettings(text, 'f').listen.administration).to.deep.equal({ host: 'fd00::1', port: 7080 })
  })

  it('reports invalid TOML with line and column, and an unreadable file with its name, instead of an internal error', async () => {
    expect(findingsOf('[vm]\nid = ')).to.satisfy((findings: string[]) => /line 2, column/.test(findings[0] ?? ''))
    const error = await loadSettings('missing.toml').catch((thrown: unknown) => thrown)
    expect(error).to.be.instanceOf(SettingsError)
    expect(error).to.include({ code: 'settings_unreadable', path: 'missing.toml' })
  })

  it('refuses a short token from the environment, which the schema does not check', () => {
    const settings = parseSettings(settingsText({ administration: 'tokenEnvironment = "TOKEN"' }), 'f')
    expect(administrationToken(settings, { TOKEN: '0123456789abcdef' })).to.equal('0123456789abcdef')
    expect(() => administrationToken(settings, { TOKEN: 'short' })).to.throw(SettingsError)
  })
})
