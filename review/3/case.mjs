// Clients send safe requests one behind the other on kept connections while three of six servers answer a few requests without a length.
// Rule LOST: a machine may not close a connection without an answer to requests that it has passed on to sound servers.
import { delay, Deployment } from '../lib/deployment.mjs'
import { PipelineConnection } from '../lib/pipeline.mjs'

const trouble = process.env.TROUBLE !== '0'
const connectionCount = 20
const sendEveryMilliseconds = 150
const garbledShare = 0.05
const troubleMilliseconds = 5_000
const troubleTimes = 4
const garblingServers = ['i-ledger-1', 'i-ledger-2', 'i-ledger-3']
const allowed = 3

const deployment = new Deployment({ machines: 2 })
const workOf = new Map()
const garbled = new Set()
const answer = ({ response, requestId, headers, body, entry }) => {
  const withoutLength = trouble && deployment.garbling === true && garblingServers.includes(entry.server) && Math.random() < garbledShare
  if (!withoutLength) return response.writeHead(200, headers).end(body)
  garbled.add(requestId)
  response.useChunkedEncodingByDefault = false
  response.writeHead(200, { ...headers, Connection: 'close' })
  response.end(body)
}
const servers = Array.from({ length: 6 }, (_, index) => ({ id: `i-ledger-${index + 1}`, service: 'ledger', slots: 3, work: (_request, id) => workOf.get(id) ?? 50, answer }))
const config = {
  routes: [{ name: 'status', kind: 'safe', service: 'ledger', priority: 1 }],
  services: [{ name: 'ledger', sharded: true }]
}

async function main () {
  await deployment.start(servers, config)
  for (const machine of deployment.machines) if (!await deployment.ready(machine)) return 2
  await delay(3_000)
  const connections = []
  const phase = { sending: true }
  let next = 1
  const client = async number => {
    const machine = deployment.machines[number % deployment.machines.length]
    while (phase.sending) {
      const connection = new PipelineConnection(machine.host, machine.port)
      await connection.connected()
      connections.push({ connection, machine })
      while (phase.sending && !connection.closing) {
        const id = `r-${number}-${next++}`
        workOf.set(id, Math.random() < 0.1 ? 400 : 40 + 60 * Math.random())
        connection.send(id, `/status/${number}`, Math.floor(Math.random() * 65_536))
        await delay(sendEveryMilliseconds * (0.5 + Math.random()))
      }
      if (phase.sending) await connection.closed
    }
  }
  const clients = Array.from({ length: connectionCount }, async (_, number) => await client(number))
  await delay(1_000)
  for (let time = 0; time < troubleTimes; time++) {
    deployment.garbling = true
    await delay(troubleMilliseconds)
    deployment.garbling = false
    await delay(1_000)
  }
  phase.sending = false
  await delay(1_500)
  for (const { connection } of connections) connection.leave()
  await Promise.race([Promise.all(clients), delay(2_000)])
  return judge(connections)
}

function judge (connections) {
  const seen = new Map(deployment.servers.flatMap(server => server.seen).map(entry => [entry.requestId, entry]))
  let sent = 0
  let answered = 0
  const lostBy = new Map()
  for (const { connection, machine } of connections) {
    for (const [index, entry] of connection.sent.entries()) {
      sent++
      deployment.note(`sent ${entry.requestId} to ${machine.name}: ${entry.whole ? entry.status : 'no answer'}`)
      if (entry.whole) {
        answered++
        continue
      }
      const run = seen.get(entry.requestId)
      if (run?.end !== 'answered' || !connection.cutOff(entry) || garblingServers.includes(run.server)) continue
      const before = connection.sent.slice(0, index).findLast(other => other.whole)
      lostBy.set(machine.name, (lostBy.get(machine.name) ?? 0) + 1)
      deployment.note(`LOST ${entry.requestId} by ${machine.name}: number ${index + 1} on its connection, sent ${Math.round(entry.sentAt - connection.sent[0].sentAt)} ms after the first; ${run.server} ran it (${run.end}); the last answer before it was ${before?.requestId}, ${garbled.has(before?.requestId) ? 'without a length' : 'with a length'}, received ${Math.round((before?.answeredAt ?? NaN) - entry.sentAt)} ms after this one was sent`)
    }
  }
  deployment.note(`${sent} requests sent, ${answered} answered whole, ${garbled.size} answered without a length; run by the three other servers and cut: ${[...lostBy].map(([name, count]) => `${count} by ${name}`).join(', ') || 'none'}`)
  return [...lostBy.values()].some(count => count > allowed) ? 1 : 0
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
