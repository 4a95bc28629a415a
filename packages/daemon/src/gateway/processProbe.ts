import { performance } from 'node:perf_hooks'

/** Parts of the memory of a process, in bytes. */
export interface MemoryParts {
  readonly heapUsedBytes: number
  /** Memory outside of the heap that objects hold, array buffers included. */
  readonly externalBytes: number
  readonly arrayBuffersBytes: number
}

/** What the machine tells about this process; tests replace it. */
export interface ProcessProbe {
  /** Time since the process began. */
  readonly ageMs: () => number
  /** Resident memory in bytes; undefined where the system does not tell it. */
  readonly residentBytes: () => number | undefined
  readonly memoryParts: () => MemoryParts
}

/** Reads what Node.js knows about this process. */
export class SystemProcessProbe implements ProcessProbe {
  private constructor () {}

  /** Creates a probe of this process. */
  static create (): SystemProcessProbe {
    return new SystemProcessProbe()
  }

  readonly ageMs = (): number => performance.now()

  readonly residentBytes = (): number | undefined => {
    try {
      return process.memoryUsage.rss()
    } catch {
      // Without /proc there is no figure; neither the metrics nor the background tasks may fail for that.
      return undefined
    }
  }

  readonly memoryParts = (): MemoryParts => {
    const { heapUsed, external, arrayBuffers } = process.memoryUsage()
    return { heapUsedBytes: heapUsed, externalBytes: external, arrayBuffersBytes: arrayBuffers }
  }
}
