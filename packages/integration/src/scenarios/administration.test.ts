import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { administrationToken, Deployment, executables, runCli, runProgram, sendTraced, smallAtlas, waitFor, type CallerAnswer, type ProgramResult } from '../bed/index.js'

const maximumBodyBytes = 4096
const pond = 'pond-1'
// Handing over takes tenths of a second; the rest is for a busy machine.
const longestStopMilliseconds = 8000

describe('Administration with real processes', function () {
  this.timeout(60_000)
  const deployment = new Deployment(smallAtlas({ extraSettings: `[limits]\nmaximumBodyBytes = ${maximumBodyBytes}` }))
  let directory: string

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'briarsaddle-administration-'))
    await deployment.start()
  })

  after(async () => {
    await deployment.stop()
    await rm(directory, { recursive: true, force: true })
  })

  async function administer (args: readonly string[], { vm = 'vm-1', token = administrationToken } = {}): Promise<ProgramResult> {
    const { host, port } = deployment.vms.get(vm)?.administration ?? { host: '', port: 0 }
    return await runCli([...args, '--address', `http://${host}:${port}`], { environment: { BRIARSADDLE_TOKEN: token } })
  }

  async function administerJson (args: readonly string[], vm = 'vm-1'): Promise<Record<string, unknown>> {
    const result = await administer([...args, '--json'], { vm })
    expect(result, result.stderr).to.include({ code: 0, stderr: '' })
    return JSON.parse(result.stdout) as Record<string, unknown>
  }

  async function write (name: string, text: string): Promise<string> {
    const file = join(directory, name)
    await writeFile(file, text)
    return file
  }

  function expectRefused (answer: CallerAnswer, status: number, reason: string): void {
    expect({ status: answer.status, outcome: answer.outcome, reason: answer.reason }).to.deep.equal({ status, outcome: 'not-run', reason })
    expect(JSON.parse(answer.body)).to.deep.equal({ outcome: 'not-run', reason })
    // A repeat of a faulty request has no better chance.
    expect(answer.headers['retry-after']).to.equal(undefined)
  }

  it('dumps the state of each process, which operators compare between VMs', async () => {
    for (const vm of deployment.vms.keys()) {
      const state = await administerJson(['state'], vm) as unknown as { readonly process: object, readonly entry: { readonly serving: boolean }, readonly control: { readonly vm: { readonly id: string }, readonly endpoints: readonly unknown[], readonly unassigned: readonly string[] } }
      expect(state.control.vm.id).to.equal(vm)
      expect(state.entry.serving).to.equal(true)
      expect(state.control.unassigned).to.deep.equal([])
      expect(state.control.endpoints).to.have.length(deployment.endpoints.size)
    }
  })

  it('shows the rules in force unchanged, so that an operator can edit and publish them again', async () => {
    const shown = await administer(['rules', 'show'])
    expect(shown.code).to.equal(0)
    expect(shown.stdout).to.equal(deployment.plan.rules)
    expect(shown.stderr).to.match(/^version \d+, published by integration tests\n$/)
    expect((await administer(['rules', 'show', '--log-url', deployment.logUrl])).stdout).to.equal(shown.stdout)
  })

  it('names the owner that serves the key, the same on every VM (an operator drains the wrong server)', async () => {
    const { answer } = await sendTraced(deployment, { id: 'owner', kind: 'status', key: pond, vm: 'vm-1' })
    const { endpoint } = JSON.parse(answer?.body ?? '{}') as { readonly endpoint: string }
    for (const vm of deployment.vms.keys()) {
      expect(await administerJson(['owner', '--pool', 'ponds', '--key', pond], vm)).to.include({ pool: 'ponds', key: pond, owner: endpoint, pendingFrom: null })
    }
    const unknown = await administer(['owner', '--pool', 'nothing', '--key', pond])
    expect(unknown).to.include({ code: 1, stdout: '', stderr: 'briarsaddle: pool "nothing" has no assigned buckets\n' })
  })

  it('matches as the entry does: first rule, key and refusals', async () => {
    const { outcome, rule, key } = await administerJson(['match', 'get', '/sheet-status?pond=pond-9'])
    expect({ outcome, key }).to.deep.equal({ outcome: 'matched', key: 'pond-9' })
    expect(rule).to.include({ method: 'GET', pattern: '/sheet-status', pool: 'ponds', idempotent: true })
    expect(await administer(['match', 'GET', '/nothing'])).to.include({ code: 1, stderr: '' })
    expect((await administer(['match', 'GET', '/sheet-status'])).stdout).to.include('bad_key')
  })

  it('refuses a wrong token for every command and changes nothing', async () => {
    const commands = [['state'], ['rules', 'show'], ['owner', '--pool', 'ponds', '--key', pond], ['match', 'GET', '/'], ['drain', 'ponds-1', '--author', 'test'], ['witnesses', 'release', 'vm-3', '--author', 'test']]
    for (const command of commands) {
      expect(await administer(command, { token: 'wrong-token-of-some-length' }), command.join(' ')).to.include({ code: 1, stdout: '', stderr: 'briarsaddle: a bearer token is required\n' })
    }
    const { control } = await administerJson(['state']) as unknown as { readonly control: { readonly endpoints: ReadonlyArray<{ readonly leaving: boolean }>, readonly witnesses: { readonly vms: readonly string[] } } }
    expect(control.endpoints.filter(({ leaving }) => leaving)).to.deep.equal([])
    expect(control.witnesses.vms).to.include('vm-3')
  })

  it('drains an endpoint: its keys move and it gets no new work, while its requests are answered', async () => {
    const { owner } = await administerJson(['owner', '--pool', 'ponds', '--key', pond]) as unknown as { readonly owner: string }
    expect(await administerJson(['drain', owner, '--author', 'test'])).to.have.all.keys('offset')
    const traces = []
    for (let count = 0; count < 50; count++) traces.push(await sendTraced(deployment, { id: `during-drain-${count}`, kind: 'order', key: pond, vm: 'vm-2' }))
    expect(traces.filter(({ answer }) => answer?.outcome !== 'answered').map(({ id, answer }) => `${id} ${answer?.status} ${answer?.reason}`)).to.deep.equal([])
    await waitFor(`${owner} owns nothing`, 10_000, async () => {
      const { control } = await deployment.state('vm-3') as unknown as { readonly control: { readonly endpoints: ReadonlyArray<{ readonly description: { readonly id: string }, readonly leaving: boolean, readonly buckets: number }> } }
      return control.endpoints.every(({ description, leaving, buckets }) => description.id !== owner || (leaving && buckets === 0))
    })
    const after = await sendTraced(deployment, { id: 'after-drain', kind: 'order', key: pond, vm: 'vm-1' })
    expect(JSON.parse(after.answer?.body ?? '{}')).to.have.property('endpoint').not.equal(owner)
    expect(await administer(['drain', 'ponds-99', '--author', 'test'])).to.include({ code: 1, stdout: '', stderr: 'briarsaddle: endpoint ponds-99 is not known\n' })
  })

  it('refuses to release a VM that is no witness, and the last witness (leases would need no confirmation)', async () => {
    expect(await administer(['witnesses', 'release', 'vm-77', '--author', 'test'])).to.include({ code: 1, stdout: '', stderr: 'briarsaddle: vm-77 is not a witness\n' })
    expect(await administer(['witnesses', 'release', 'vm-1', 'vm-2', 'vm-3', '--author', 'test'])).to.include({ code: 1, stdout: '', stderr: 'briarsaddle: the last witness cannot be released\n' })
  })

  it('releases a witness that is lost for good (the CLI sent a body that the server refused)', async () => {
    await deployment.vms.get('vm-3')?.process.kill()
    await deployment.unlist('vm-3')
    const result = await administer(['witnesses', 'release', 'vm-3', '--author', 'test'])
    expect(result, result.stderr).to.include({ code: 0, stderr: '' })
    expect(result.stdout).to.match(/^released vm-3\noffset: \d+\n$/)
    await waitFor('every VM knows the shorter list', 5000, async () => {
      const states = await Promise.all([...deployment.vms.keys()].map(async vm => await deployment.state(vm) as unknown as { readonly control: { readonly witnesses: { readonly vms: readonly string[] } } }))
      return states.every(({ control }) => !control.witnesses.vms.includes('vm-3'))
    })
  })

  it('refuses bad settings with file, key and reason, before it listens', async () => {
    const file = await write('bad.toml', '[vm]\nid = "vm 1"\ndataCentre = "dc-a"\n[administration]\ntoken = "0123456789abcdef"\n[platform]\nlogUrl = "http://127.0.0.1:1/x"\nvmListUrl = "http://127.0.0.1:2"\n[limits]\nmaximumBody = 5\n')
    const daemon = await runProgram(executables.daemon, ['--settings', file])
    expect(daemon).to.include({ code: 2, stdout: '' })
    for (const key of ['vm.id', 'platform.logUrl', 'limits.maximumBody']) expect(daemon.stderr).to.include(`${file}: ${key}: `)
    const checked = await runCli(['settings', 'check', file])
    expect(checked.code).to.equal(2)
    for (const key of ['vm.id', 'platform.logUrl', 'limits.maximumBody']) expect(checked.stderr).to.include(`${file}: ${key}: `)
    const syntax = await write('syntax.toml', '[vm]\nid = \n')
    expect((await runProgram(executables.daemon, ['--settings', syntax])).stderr).to.match(/syntax\.toml: line 2, column \d+: /)
    expect(await runProgram(executables.daemon, ['--settings', join(directory, 'missing.toml')])).to.include({ code: 2, stdout: '' })
  })

  it('refuses a bad rule file with line and reason and leaves the rules in force', async () => {
    const file = await write('bad-rules.txt', '# Rules\nGET /ponds/:pond pool=ponds key=path:pond idempotent class=normal deadline=5s\nPOST /x pool=ponds at-most-once class=fast deadline=5s # Leila\n')
    const before = await administerJson(['rules', 'show'])
    for (const command of [['rules', 'check', file], ['rules', 'publish', file, '--author', 'test', '--log-url', deployment.logUrl]]) {
      const result = await runCli(command)
      expect(result.code).to.equal(2)
      expect(result.stderr).to.include(`${file}:2: the rule needs a trailing comment that names who asked for it (missing_comment)`)
      expect(result.stderr).to.include(`${file}:3: class "fast" must be one of prompt, normal, long (bad_class)`)
    }
    expect(await administerJson(['rules', 'show'])).to.deep.equal(before)
  })

  it('answers bad requests as not run with the documented status and reason', async () => {
    expectRefused(await deployment.call('vm-1', 'GET', '/nothing'), 404, 'no_rule')
    expectRefused(await deployment.call('vm-1', 'GET', '/sheet-status'), 400, 'key_missing')
    expectRefused(await deployment.call('vm-1', 'GET', '/sheet-status?pond=a&pond=b'), 400, 'key_ambiguous')
    expectRefused(await deployment.call('vm-1', 'GET', '/ponds/%zz/sheet-status'), 400, 'bad_path')
    const order = `/ponds/${pond}/flood-orders`
    expectRefused(await deployment.call('vm-1', 'POST', order, { headers: { 'idempotency-key': 'two words' }, body: 'x' }), 400, 'invalid_idempotency_key')
    expectRefused(await deployment.call('vm-1', 'POST', order, { headers: { 'idempotency-key': 'k'.repeat(257) }, body: 'x' }), 400, 'invalid_idempotency_key')
    expectRefused(await deployment.call('vm-1', 'POST', order, { headers: { 'briarsaddle-deadline-milliseconds': 'soon' }, body: 'x' }), 400, 'invalid_deadline')
    expectRefused(await deployment.call('vm-1', 'POST', order, { body: 'x'.repeat(maximumBodyBytes + 1) }), 413, 'body_too_large')
    expect(await deployment.call('vm-1', 'POST', order, { body: 'x'.repeat(maximumBodyBytes) })).to.include({ status: 200, outcome: 'answered' })
  })

  it('refuses a body that grows too long without losing its answer or the requests beside it', async () => {
    const beside = Array.from({ length: 20 }, async (_, count) => await sendTraced(deployment, { id: `beside-${count}`, kind: 'order', key: `pond-${count}`, vm: 'vm-1' }))
    const text = await sendChunked(deployment.vms.get('vm-1')?.callers ?? { host: '', port: 0 }, `/ponds/${pond}/flood-orders`, 'too-long')
    expect(text).to.match(/^HTTP\/1\.1 413 /)
    expect(text.toLowerCase()).to.include('briarsaddle-outcome: not-run').and.include('briarsaddle-reason: body_too_large')
    const traces = await Promise.all(beside)
    expect(traces.filter(({ answer }) => answer?.outcome !== 'answered').map(({ id }) => id)).to.deep.equal([])
    for (const endpoint of deployment.endpoints.keys()) {
      expect((await deployment.record(endpoint)).requests.filter(({ testRequest }) => testRequest === 'too-long')).to.deep.equal([])
    }
  })

  it('exits as soon as a graceful stop is done (timers for deadlines kept the process alive for up to 30 s)', async () => {
    const { coordinator } = await administerJson(['owner', '--pool', 'ponds', '--key', pond]) as unknown as { readonly coordinator: { readonly vm: string } }
    // More than the slots of the endpoint, so that some wait in its queue with their deadline of 30 s.
    const orders = await Promise.all(Array.from({ length: 20 }, async (_, count) => await sendTraced(deployment, { id: `before-stop-${count}`, kind: 'order', key: pond, vm: coordinator.vm })))
    expect(orders.filter(({ answer }) => answer?.outcome !== 'answered').map(({ id }) => id)).to.deep.equal([])
    const since = performance.now()
    expect(await deployment.vms.get(coordinator.vm)?.process.stop()).to.equal(0)
    expect(performance.now() - since).to.be.lessThan(longestStopMilliseconds)
    await deployment.unlist(coordinator.vm)
  })
})

/** Sends a chunked body of several times the limit, writing on after the refusal, and returns all that was answered. */
async function sendChunked ({ host, port }: { readonly host: string, readonly port: number }, path: string, id: string): Promise<string> {
  const chunk = 'x'.repeat(maximumBodyBytes)
  return await new Promise((resolve, reject) => {
    const socket = connect(port, host, () => {
      socket.write(`POST ${path} HTTP/1.1\r\nHost: test\r\nX-Test-Request: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`)
      for (let count = 0; count < 8; count++) socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`)
      socket.write('0\r\n\r\n')
    })
    let text = ''
    socket.setTimeout(10_000, () => socket.destroy(new Error('the connection stayed open')))
    socket.on('data', data => { text += data.toString() })
    socket.on('end', () => { socket.end() })
    socket.on('close', () => resolve(text))
    socket.on('error', reject)
  })
}
