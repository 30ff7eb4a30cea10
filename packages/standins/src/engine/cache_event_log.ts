/** Cache events as published by an engine: delayed, with gaps, bounded. */
import type {Clock, Random} from '@marigoldpost/common';
import type {CacheEvent, CacheEvents} from '@marigoldpost/targets';

/** Delay, loss rate and capacity of the log. */
export interface CacheEventLogOptions {
  /** Delay until readers see an event, in milliseconds. */
  readonly eventLagMs: number;
  /** Fraction of events that are lost, from 0 to 1. */
  readonly eventGapRate: number;
  /** Maximum number of events retained for readers. */
  readonly maxEvents: number;
}

interface LoggedEvent {
  readonly visibleAtMs: number;
  readonly event: CacheEvent;
}

/**
 * Bounded log of cache events. Events older than its floor are lost; there is
 * no snapshot of the state before them.
 */
export class CacheEventLog {
  private readonly events: LoggedEvent[] = [];
  private firstIndex = 0;
  private lastSequence = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: CacheEventLogOptions,
  ) {}

  /**
   * Creates an empty log.
   * @param clock - Source of time.
   * @param random - Determines which events are lost.
   * @param options - Delay, loss rate and capacity.
   */
  static create(
    clock: Clock,
    random: Random,
    options: CacheEventLogOptions,
  ): CacheEventLog {
    return new CacheEventLog(clock, random, options);
  }

  /**
   * Publishes an event. A lost event still consumes a sequence number.
   * @param kind - Change that the cache made.
   * @param blockHashes - Hashes of the changed blocks; empty for `cleared`.
   */
  addEvent(kind: CacheEvent['kind'], blockHashes: readonly string[]): void {
    this.lastSequence += 1;
    if (this.random.next() < this.options.eventGapRate) return;
    this.events.push({
      visibleAtMs: this.clock.nowMs() + this.options.eventLagMs,
      event: {sequence: this.lastSequence, kind, blockHashes},
    });
    this.removeOldest();
  }

  /**
   * Gets the events that readers can see now.
   * @param afterSequence - Sequence number of the last event already read.
   */
  getEvents(afterSequence: number): CacheEvents {
    const nowMs = this.clock.nowMs();
    const events: CacheEvent[] = [];
    for (
      let i = this.findFirst(afterSequence);
      i < this.events.length;
      i += 1
    ) {
      const logged = this.events[i];
      if (logged === undefined || logged.visibleAtMs > nowMs) break;
      events.push(logged.event);
    }
    const oldest = this.events[this.firstIndex]?.event.sequence;
    return {events, floorSequence: oldest ?? this.lastSequence + 1};
  }

  private findFirst(afterSequence: number): number {
    let low = this.firstIndex;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const sequence = this.events[middle]?.event.sequence ?? 0;
      if (sequence > afterSequence) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  private removeOldest(): void {
    const {maxEvents} = this.options;
    if (this.events.length - this.firstIndex > maxEvents) this.firstIndex += 1;
    if (this.firstIndex <= maxEvents) return;
    this.events.splice(0, this.firstIndex);
    this.firstIndex = 0;
  }
}
