import { z } from 'zod'
import type { Clock, ConfigSource, JsonValue, Log, PeerBus, Random, Target } from '@lovagehoist/common'
import type { PolledTargetDirectory } from './targetDirectory.js'

/** Dependencies of the fallback. */
export interface PeerTargetFallbackOptions {
  readonly directory: PolledTargetDirectory
  readonly bus: PeerBus
  readonly config: ConfigSource
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

const METHOD = 'targets.list'
const CALL_TIMEOUT_MS = 1_000
const RETRY_MS = 500

const targetSchema = z.strictObject({
  id: z.string().min(1),
  service: z.string().min(1),
  host: z.string().min(1),
  port: z.int().min(1),
  slots: z.int().min(1),
  startedAtMs: z.number(),
  region: z.string(),
  availabilityZone: z.string(),
  isLeaving: z.boolean()
}).readonly()

const paramsSchema = z.strictObject({ service: z.string() }).readonly()
const responseSchema = z.array(targetSchema).readonly()

/** Fetches the known targets from other daemons if this daemon starts while the platform's directory is unavailable. */
export class PeerTargetFallback {
  private constructor (private readonly options: PeerTargetFallbackOptions) {
    options.bus.handle(METHOD, async params => {
      const { service } = paramsSchema.parse(params)
      if (!options.directory.isKnown()) throw new Error('no list of targets is known here')
      return options.directory.targets(service) as unknown as JsonValue
    })
  }

  /**
   * Creates the fallback and registers the method that serves the targets to peers.
   *
   * @param options - Directory, peers and configuration.
   * @returns The fallback.
   */
  static create (options: PeerTargetFallbackOptions): PeerTargetFallback {
    return new PeerTargetFallback(options)
  }

  /**
   * Asks peers until the directory has a list of targets from any source.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, directory, log } = this.options
    await clock.sleepMs(RETRY_MS, signal)
    while (!signal.aborted && !directory.isKnown()) {
      const targets = await this.fetchAllServices(signal)
      if (targets !== undefined && !directory.isKnown()) {
        directory.applyPeerTargets(targets)
        log.info('targets received from peers', { targets: targets.length })
      }
      await clock.sleepMs(RETRY_MS, signal)
    }
  }

  private async fetchAllServices (signal: AbortSignal): Promise<readonly Target[] | undefined> {
    const document = this.options.config.current()?.document
    if (document === undefined) return undefined
    const found: Target[] = []
    for (const service of Object.keys(document.services)) {
      if (signal.aborted) return undefined
      const targets = await this.fetchService(service)
      if (targets === undefined) return undefined
      found.push(...targets)
    }
    return found
  }

  private async fetchService (service: string): Promise<readonly Target[] | undefined> {
    const { bus, random } = this.options
    const members = bus.members().filter(member => member.status === 'reachable')
    const member = members[random.int(Math.max(1, members.length))]
    if (member === undefined) return undefined
    const reply = await bus.call(member.instanceId, METHOD, { service }, CALL_TIMEOUT_MS)
    if (reply.isErr()) return undefined
    const checked = responseSchema.safeParse(reply.value)
    return checked.success ? checked.data.filter(target => target.service === service) : undefined
  }
}
