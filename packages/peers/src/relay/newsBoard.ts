import type { NewsMessage, NewsSource, NewsTopic } from '@lovagehoist/common'
import type { News } from './newsMessages.js'

/** Time between two messages that carry all news, in case others missed some. */
const FULL_INTERVAL_MS = 4_000

/** The topics of news that daemons exchange. */
export class NewsBoard {
  private readonly fullAtMs: Record<NewsMessage, number> = { report: -Infinity, zone: -Infinity, view: -Infinity }

  private constructor (private readonly topics: readonly NewsTopic[]) {}

  /**
   * Creates a board.
   *
   * @param topics - Topics with distinct names.
   * @returns The board.
   */
  static create (topics: readonly NewsTopic[]): NewsBoard {
    return new NewsBoard(topics)
  }

  /** Sets the listener for changes made by this daemon. */
  onChange (listener: (isUrgent: boolean) => void): void {
    for (const topic of this.topics) topic.onChange(listener)
  }

  /** Makes the next message of a kind carry all news, since somebody new receives it. */
  requestFull (message: NewsMessage): void {
    this.fullAtMs[message] = -Infinity
  }

  /** Collects the news of all topics for a message: what changed, and everything now and then. */
  collect (message: NewsMessage, nowMs: number): News {
    const isFull = nowMs - this.fullAtMs[message] >= FULL_INTERVAL_MS
    if (isFull) this.fullAtMs[message] = nowMs
    return Object.fromEntries(this.topics.map(topic => [topic.name, topic.collect(message, isFull)]))
  }

  /** Whether news contain rows that no later report repeats. */
  hasUnrepeated (news: News): boolean {
    return this.topics.some(({ name, isRepeated }) => isRepeated !== true && (news[name] ?? []).length > 0)
  }

  /** Applies the news of a message; returns whether any of them are urgent. */
  apply (news: News, source: NewsSource): boolean {
    return this.topics.map(topic => topic.apply(news[topic.name] ?? [], source)).some(isUrgent => isUrgent)
  }
}
