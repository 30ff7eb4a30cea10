/** Passes a stream of events on as it comes. */
import type {IncomingMessage} from 'node:http';
import type {Clock, Timer} from '@marigoldpost/common';
import type {IncomingCall} from '../calls/incoming_call.js';
import {EventCollector} from './event_collector.js';

/** Options of a relay. */
export interface StreamRelayOptions {
  readonly call: IncomingCall;
  readonly response: IncomingMessage;
  /** Headers for the client, names and values in turn. */
  readonly headers: readonly string[];
  readonly clock: Clock;
  /** Longest silence between two events before the target counts as lost. */
  readonly stallMs: number;
}

/** How a relayed stream ended. */
export interface StreamResult {
  /** Whether the target sent it whole. */
  readonly isComplete: boolean;
  /** What cut it off; empty for a whole one. */
  readonly message: string;
  /** Whether it was given up because no event came. */
  readonly isStalled: boolean;
  readonly events: number;
  /** Mean time between two events; nothing with fewer than three. */
  readonly gapMs: number | undefined;
  readonly data: Buffer;
}

const minEventsForGap = 3;

/** Relay of one stream; the client's answer begins with the first event. */
export class StreamRelay {
  private readonly collector = EventCollector.create();
  private firstEventMs: number | undefined;
  private lastEventMs = 0;
  private isStalled = false;
  private stallTimer: Timer | undefined;

  private constructor(private readonly options: StreamRelayOptions) {}

  /**
   * Relays a stream; the client's answer is left open at its end.
   * @param options - Target's answer and client's call.
   */
  static run(options: StreamRelayOptions): Promise<StreamResult> {
    return new StreamRelay(options).run();
  }

  private run(): Promise<StreamResult> {
    const {response} = this.options;
    return new Promise((resolve) => {
      let message = 'the stream was cut off';
      response.on('data', (chunk: Buffer) => this.accept(chunk));
      response.once('error', (error) => {
        ({message} = error);
      });
      response.once('close', () => {
        this.stallTimer?.cancel();
        const isWhole = response.complete && response.errored === null;
        const isComplete = isWhole && this.collector.isBetweenEvents;
        resolve(this.createResult(isComplete, message));
      });
    });
  }

  private accept(chunk: Buffer): void {
    const {call, response, headers, clock} = this.options;
    const eventsBefore = this.collector.eventCount;
    this.collector.add(chunk);
    if (this.collector.eventCount > eventsBefore) {
      this.lastEventMs = clock.nowMs();
      this.firstEventMs ??= this.lastEventMs;
    }
    if (call.signal.aborted) return;
    this.watchForStall();
    if (!call.isAnswered) call.begin(response.statusCode ?? 0, headers);
    if (call.write(chunk)) return;
    response.pause();
    call.onceDrained(() => response.resume());
  }

  private watchForStall(): void {
    const {response, clock, stallMs} = this.options;
    this.stallTimer?.cancel();
    this.stallTimer = clock.setTimer(stallMs, () => {
      // A client that reads too slowly pauses the target by itself.
      if (response.isPaused()) {
        this.watchForStall();
        return;
      }
      this.isStalled = true;
      response.destroy(new Error(`no event for ${stallMs} ms`));
    });
  }

  private createResult(isComplete: boolean, message: string): StreamResult {
    const events = this.collector.eventCount;
    const spanMs = this.lastEventMs - (this.firstEventMs ?? 0);
    return {
      isComplete,
      message: isComplete ? '' : message,
      isStalled: this.isStalled,
      events,
      gapMs: events < minEventsForGap ? undefined : spanMs / (events - 1),
      data: this.collector.getData(),
    };
  }
}
