/** Forwards a stream of server-sent events chunk by chunk. */
import type {Clock} from '@marigoldpost/common';
import type {IncomingCall, ResponseHead} from '../calls/incoming_call.js';
import {EventCollector} from '../responses/event_collector.js';
import {
  type BodyEnd,
  type BodyProof,
  getStreamProof,
  type StreamPosition,
} from './body_end.js';
import type {ResponseAllowance} from './response_allowance.js';
import {SilenceWatch} from './silence_watch.js';
import type {TargetBody} from './target_body.js';

/** Source and destination of one relayed stream. */
export interface StreamRelayOptions {
  readonly call: IncomingCall;
  readonly body: TargetBody;
  /** Response headers for the client, alternating names and values. */
  readonly headers: readonly string[];
  readonly clock: Clock;
  /** Memory for what is kept of the stream. */
  readonly allowance: ResponseAllowance;
  /** Finds why a silent target is lost; `undefined` while it may go on. */
  readonly findLoss: (silentMs: number) => string | undefined;
}

/** How a relayed stream ended. */
export interface StreamResult extends StreamPosition {
  /** Head of the client's response, which may not have been sent. */
  readonly head: ResponseHead;
  readonly end: BodyEnd;
  /** What the end of the stream proves. */
  readonly proof: BodyProof;
  /** Error that truncated the stream; empty unless it is truncated. */
  readonly message: string;
  /** Whether the relay aborted it because its target is lost. */
  readonly isLost: boolean;
  /** When the first event arrived; `undefined` without one. */
  readonly firstEventAtMs: number | undefined;
  /** Mean time between two events; `undefined` for fewer than three events. */
  readonly gapMs: number | undefined;
  /**
   * Data of all complete events, each followed by a line feed; none if the
   * stream is truncated.
   */
  readonly data: Buffer;
}

const minEventsForGap = 3;

/** Relay of one stream; the client's response starts with the first chunk. */
export class StreamRelay {
  private readonly collector: EventCollector;
  private firstEventMs: number | undefined;
  private lastEventMs = 0;
  private readonly watch: SilenceWatch;
  /** Number of reasons for which the target's response is paused. */
  private pauses = 0;

  private constructor(private readonly options: StreamRelayOptions) {
    const {clock, body, findLoss, allowance} = options;
    this.collector = EventCollector.create(allowance.pool);
    this.watch = SilenceWatch.start({clock, body, findLoss});
  }

  /**
   * Relays a stream until the target's response closes. Does not end the
   * client's response, which must be completed or aborted by the result.
   * @param options - The target's response and the client's call.
   */
  static run(options: StreamRelayOptions): Promise<StreamResult> {
    return new StreamRelay(options).run();
  }

  private async run(): Promise<StreamResult> {
    const {body, call} = this.options;
    // A paused response is not aborted with its exchange once all its bytes
    // have arrived.
    const onAbort = () => body.abort('the call was aborted');
    call.signal.addEventListener('abort', onAbort, {once: true});
    if (call.signal.aborted) onAbort();
    const end = await body.read((chunk) => this.forwardChunk(chunk));
    call.signal.removeEventListener('abort', onAbort);
    this.watch.stop();
    this.options.allowance.finish();
    return this.createResult(end);
  }

  private get head(): ResponseHead {
    const {body, headers} = this.options;
    return {status: body.response.statusCode ?? 0, headers};
  }

  private forwardChunk(chunk: Buffer): void {
    const {call, body, clock, allowance} = this.options;
    const eventsBefore = this.collector.eventCount;
    this.watch.recordChunk();
    this.collector.add(chunk);
    if (this.collector.eventCount > eventsBefore) {
      this.lastEventMs = clock.nowMs();
      this.firstEventMs ??= this.lastEventMs;
    }
    if (call.signal.aborted) return;
    const endPause = () => this.endPause();
    const result = allowance.hold(this.collector.heldBytes, endPause);
    if (result === 'too_large') {
      body.abortOversized(allowance.maxBytes);
      return;
    }
    if (result === 'waiting') this.pause();
    if (!call.isHeadSent) call.writeHead(this.head);
    if (call.write(chunk)) return;
    this.pause();
    call.onceDrained(endPause);
  }

  private pause(): void {
    this.pauses += 1;
    this.options.body.response.pause();
  }

  private endPause(): void {
    this.pauses -= 1;
    if (this.pauses === 0) this.options.body.response.resume();
  }

  private createResult(end: BodyEnd): StreamResult {
    const events = this.collector.eventCount;
    const isInEvent = !this.collector.isAtEventBoundary;
    const proof = getStreamProof(end, {events, isInEvent});
    const message = end.message || 'the event stream was truncated';
    const isTruncated = proof === 'truncated';
    const data = isTruncated ? Buffer.alloc(0) : this.collector.getData();
    this.collector.clear();
    const spanMs = this.lastEventMs - (this.firstEventMs ?? 0);
    return {
      head: this.head,
      end,
      proof,
      message: isTruncated ? message : '',
      isLost: this.watch.isLost,
      events,
      isInEvent,
      firstEventAtMs: this.firstEventMs,
      gapMs: events < minEventsForGap ? undefined : spanMs / (events - 1),
      data,
    };
  }
}
