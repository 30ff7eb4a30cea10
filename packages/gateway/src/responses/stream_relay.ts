/** Forwards a stream of server-sent events chunk by chunk. */
import type {IncomingMessage} from 'node:http';
import type {Clock, Timer} from '@marigoldpost/common';
import type {IncomingCall} from '../calls/incoming_call.js';
import {EventCollector} from '../responses/event_collector.js';

/** Source and destination of one relayed stream. */
export interface StreamRelayOptions {
  readonly call: IncomingCall;
  readonly response: IncomingMessage;
  /** Response headers for the client, alternating names and values. */
  readonly headers: readonly string[];
  readonly clock: Clock;
  /** Time without a chunk after which the stream counts as stalled. */
  readonly stallMs: number;
}

/** How a relayed stream ended. */
export interface StreamResult {
  /** Whether the target sent the stream to its end, after a whole event. */
  readonly isComplete: boolean;
  /** Error that truncated the stream; empty for a complete one. */
  readonly message: string;
  /** Whether the relay aborted it because no chunk arrived for `stallMs`. */
  readonly isStalled: boolean;
  /** Number of complete events. */
  readonly events: number;
  /** Mean time between two events; `undefined` for fewer than three events. */
  readonly gapMs: number | undefined;
  /** Data of all complete events, each followed by a line feed. */
  readonly data: Buffer;
}

const minEventsForGap = 3;

/** Relay of one stream; the client's response starts with the first chunk. */
export class StreamRelay {
  private readonly collector = EventCollector.create();
  private firstEventMs: number | undefined;
  private lastEventMs = 0;
  private isStalled = false;
  private stallTimer: Timer | undefined;

  private constructor(private readonly options: StreamRelayOptions) {}

  /**
   * Relays a stream until the target's response closes. Does not end the
   * client's response, which must be completed or aborted by the result.
   * @param options - The target's response and the client's call.
   */
  static run(options: StreamRelayOptions): Promise<StreamResult> {
    return new StreamRelay(options).run();
  }

  private run(): Promise<StreamResult> {
    const {response} = this.options;
    return new Promise((resolve) => {
      let message = 'the event stream was truncated';
      response.on('data', (chunk: Buffer) => this.forwardChunk(chunk));
      response.once('error', (error) => {
        ({message} = error);
      });
      response.once('close', () => {
        this.stallTimer?.cancel();
        const isBodyComplete = response.complete && response.errored === null;
        const isComplete = isBodyComplete && this.collector.isAtEventBoundary;
        resolve(this.createResult(isComplete, message));
      });
    });
  }

  private forwardChunk(chunk: Buffer): void {
    const {call, response, headers, clock} = this.options;
    const eventsBefore = this.collector.eventCount;
    this.collector.add(chunk);
    if (this.collector.eventCount > eventsBefore) {
      this.lastEventMs = clock.nowMs();
      this.firstEventMs ??= this.lastEventMs;
    }
    if (call.signal.aborted) return;
    this.restartStallTimer();
    if (!call.isHeadSent) call.writeHead(response.statusCode ?? 0, headers);
    if (call.write(chunk)) return;
    response.pause();
    call.onceDrained(() => response.resume());
  }

  private restartStallTimer(): void {
    const {response, clock, stallMs} = this.options;
    this.stallTimer?.cancel();
    this.stallTimer = clock.setTimer(stallMs, () => {
      // Paused by backpressure from a slow client: the target is not at fault.
      if (response.isPaused()) {
        this.restartStallTimer();
        return;
      }
      this.isStalled = true;
      response.destroy(
        new Error(`event stream stalled: no data for ${stallMs} ms`),
      );
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
