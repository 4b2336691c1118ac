import { spawn, type ChildProcessWithoutNullStreams } from 'node:child_process'
import { createInterface } from 'node:readline'

const startTimeoutMilliseconds = 15_000
const keptLogLines = 4000

/** A child process that prints one JSON line with its addresses when it is ready. */
export class ManagedProcess {
  readonly name: string
  readonly #child: ChildProcessWithoutNullStreams
  readonly #lines: string[] = []
  readonly #ready: Promise<unknown>
  readonly #exited: Promise<number | null>
  #running = true

  constructor (name: string, script: string, args: readonly string[], environment: Readonly<Record<string, string>> = {}) {
    this.name = name
    this.#child = spawn(process.execPath, [script, ...args], { env: { ...process.env, ...environment } })
    this.#exited = new Promise(resolve => this.#child.once('exit', code => {
      this.#running = false
      resolve(code)
    }))
    createInterface({ input: this.#child.stderr }).on('line', line => this.#keep(line))
    this.#ready = new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${name} did not start in time:\n${this.log}`)), startTimeoutMilliseconds)
      createInterface({ input: this.#child.stdout }).on('line', line => {
        this.#keep(line)
        if (!line.startsWith('{')) return
        clearTimeout(timer)
        resolve(JSON.parse(line))
      })
      void this.#exited.then(code => {
        clearTimeout(timer)
        reject(new Error(`${name} exited with ${code} before it was ready:\n${this.log}`))
      })
    })
    this.#ready.catch(() => {})
  }

  /** What the process printed last. */
  get log (): string { return this.#lines.join('\n') }
  get running (): boolean { return this.#running }
  get processId (): number { return this.#child.pid ?? -1 }

  /** Resolves to the JSON line. */
  async ready (): Promise<unknown> {
    return await this.#ready
  }

  /** Ends the process at once, as a lost VM. */
  async kill (): Promise<void> {
    if (this.#running) this.#child.kill('SIGKILL')
    await this.#exited
  }

  /** Stops the process gracefully and returns its exit code. */
  async stop (): Promise<number | null> {
    if (this.#running) this.#child.kill('SIGTERM')
    return await this.#exited
  }

  /** Freezes the process. */
  pause (): void { this.#child.kill('SIGSTOP') }

  /** Lets a frozen process go on. */
  resume (): void { this.#child.kill('SIGCONT') }

  #keep (line: string): void {
    this.#lines.push(line)
    if (this.#lines.length > keptLogLines) this.#lines.shift()
  }
}
