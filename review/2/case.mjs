// Clients send safe requests one behind the other on kept connections while one of two machines gets SIGTERM.
// Rule LOST: no request that the stopped machine has passed on to a server may end with its connection, without an answer.
import { delay, Deployment } from '../lib/deployment.mjs'
import { PipelineConnection } from '../lib/pipeline.mjs'

const trouble = process.env.TROUBLE !== '0'
const connectionCount = 12
const sendEveryMilliseconds = 120
const quietMilliseconds = 3_000
const stopMilliseconds = 5_500
// The platform takes a machine out of rotation after two misses, one second apart.
const rotationMilliseconds = 2_000

const deployment = new Deployment({ machines: 2 })
const workOf = new Map()
const servers = Array.from({ length: 6 }, (_, index) => ({ id: `i-ledger-${index + 1}`, service: 'ledger', slots: 3, work: (_request, id) => workOf.get(id) ?? 50 }))
const config = {
  routes: [{ name: 'status', kind: 'safe', service: 'ledger', priority: 1 }],
  services: [{ name: 'ledger', sharded: true }]
}

async function main () {
  await deployment.start(servers, config)
  const [machine, other] = deployment.machines
  if (!await deployment.ready(machine) || !await deployment.ready(other)) return 2
  await delay(2_000)
  const connections = []
  let next = 1
  const phase = { sending: true }
  let stoppedAt = Infinity
  const client = async number => {
    while (phase.sending && machine.ended === undefined && performance.now() < stoppedAt + rotationMilliseconds) {
      const connection = new PipelineConnection(machine.host, machine.port)
      try {
        await connection.connected()
      } catch {
        return
      }
      connections.push(connection)
      while (phase.sending && !connection.closing) {
        const id = `r-${number}-${next++}`
        // Work times like those of the sites: most are short, a few take several times as long.
        workOf.set(id, Math.random() < 0.1 ? 400 : 40 + 60 * Math.random())
        connection.send(id, `/status/${number}`, Math.floor(Math.random() * 65_536))
        await delay(sendEveryMilliseconds * (0.5 + Math.random()))
      }
      await connection.closed
    }
  }
  const clients = Array.from({ length: connectionCount }, async (_, number) => await client(number))
  await delay(quietMilliseconds)
  const signalAt = performance.now()
  if (trouble) {
    stoppedAt = signalAt
    deployment.signal(machine, 'SIGTERM')
  }
  await delay(stopMilliseconds)
  phase.sending = false
  await delay(1_500)
  for (const connection of connections) connection.leave()
  await Promise.race([Promise.all(clients), delay(2_000)])
  return judge(connections, signalAt)
}

function judge (connections, stoppedAt) {
  const seen = new Map(deployment.servers.flatMap(server => server.seen).map(entry => [entry.requestId, entry]))
  let sent = 0
  let answered = 0
  const lost = []
  for (const connection of connections) {
    for (const entry of connection.sent) {
      sent++
      deployment.note(`sent ${entry.requestId} ${Math.round(entry.sentAt - stoppedAt)} ms after the signal: ${entry.whole ? entry.status : 'no answer'}`)
      if (entry.whole) answered++
      else if (seen.get(entry.requestId)?.end === 'answered' && connection.cutOff(entry) && entry.sentAt >= stoppedAt - 3_000) lost.push({ connection, entry })
    }
  }
  deployment.note(`${sent} requests sent, ${answered} answered whole, ${lost.length} run by a server and cut without an answer`)
  for (const { connection, entry } of lost) {
    const at = connection.sent.indexOf(entry)
    const run = seen.get(entry.requestId)
    deployment.note(`LOST ${entry.requestId}: sent ${Math.round(entry.sentAt - stoppedAt)} ms after the signal as number ${at + 1} on its connection; ${run.server} ran it from ${Math.round(run.at - stoppedAt)} ms on (${run.end}); last answer before it was ${connection.sent[at - 1]?.requestId}, connection header ${connection.sent.slice(0, at).findLast(other => other.whole)?.headers.connection}`)
  }
  return lost.length > 0 ? 1 : 0
}

let code = 2
try {
  code = await main()
} catch (error) {
  deployment.note(`the case could not run: ${error.stack}`)
}
deployment.note(`result ${code}`)
deployment.writeRecord(new URL('record.txt', import.meta.url).pathname)
await deployment.stop()
process.exit(code)
