/** In-memory instance of a plain service with fault injection. */
import type {Clock, TargetId} from '@marigoldpost/common';
import {
  type PlainRequest,
  type PlainResponse,
  PlainServiceClient,
} from '@marigoldpost/targets';
import {InFlightCalls} from './in_flight_calls.js';
import {PlainLedger, type PlainExecution} from './plain_ledger.js';
import {createLost, createUnreachable} from './target_fault_errors.js';

/** Fault of one request. */
export type PlainFault =
  | 'none'
  /** Responds with status 500 and does not run. */
  | 'fail_before_run'
  /** Sends no response and does not run. */
  | 'hang_before_run'
  /** Runs and sends no response. */
  | 'hang_after_run'
  /** Runs and drops the connection. */
  | 'lose_answer'
  /** Drops the connection and does not run. */
  | 'cut_before_run'
  /** The process crashes before it runs the request. */
  | 'crash_before_run'
  /** The process crashes after it has run the request. */
  | 'crash_after_run';

/** Identity, timing and deduplication of an instance. */
export interface MemoryPlainServiceOptions {
  readonly target: TargetId;
  readonly clock: Clock;
  /** Timeout of a client's request, in milliseconds. */
  readonly timeoutMs: number;
  /** Duration of a request in milliseconds, half before it runs; default: 0. */
  readonly latencyMs?: number;
  /** Whether a repeated idempotency key gets its first response again. */
  readonly deduplicatesByKey?: boolean;
  /** Executions, shared by a service's instances; default: a new ledger. */
  readonly ledger?: PlainLedger;
}

const keyHeader = 'idempotency-key';
const okStatus = 200;
const failedStatus = 500;

/** Instance of a plain service; records each request that it runs. */
export class MemoryPlainService extends PlainServiceClient {
  readonly ledger: PlainLedger;
  private readonly inFlight: InFlightCalls;
  private readonly faults: PlainFault[] = [];
  private readonly deathListeners = new Set<() => void>();
  private crashText: string | undefined;
  private alive = true;
  private killCount = 0;
  private receivedCount = 0;

  private constructor(private readonly options: MemoryPlainServiceOptions) {
    super();
    this.ledger = options.ledger ?? PlainLedger.create();
    this.inFlight = InFlightCalls.create(options);
  }

  /**
   * Creates a running instance.
   * @param options - Target, clock and behaviour.
   */
  static create(options: MemoryPlainServiceOptions): MemoryPlainService {
    return new MemoryPlainService(options);
  }

  /** Whether the simulated process is running. */
  get isAlive(): boolean {
    return this.alive;
  }

  /** Number of requests that the process received. */
  get arrivalCount(): number {
    return this.receivedCount;
  }

  /**
   * Adds faults for the next requests, in order of arrival.
   * @param faults - One fault for each request.
   */
  addFaults(...faults: PlainFault[]): void {
    this.faults.push(...faults);
  }

  /**
   * Makes the process crash on each request whose body contains a text.
   * @param text - Text to search for; `undefined` disables the fault.
   */
  setCrashText(text: string | undefined): void {
    this.crashText = text;
  }

  /** Kills the simulated process; requests in flight fail. */
  kill(): void {
    if (!this.alive) return;
    this.alive = false;
    this.killCount += 1;
    this.inFlight.failAll();
    for (const listener of this.deathListeners) listener();
  }

  /** Restarts the process; no effect while it runs. */
  restart(): void {
    this.alive = true;
  }

  /**
   * Adds a listener for the end of the process.
   * @param listener - Called each time the process is killed or crashes.
   */
  addDeathListener(listener: () => void): void {
    this.deathListeners.add(listener);
  }

  /** Gets the executions of all instances that share the ledger. */
  getExecutions(): readonly PlainExecution[] {
    return this.ledger.getExecutions();
  }

  override async send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<PlainResponse> {
    if (!this.alive) throw createUnreachable(this.options.target);
    this.receivedCount += 1;
    return this.inFlight.waitFor(this.run(request), signal);
  }

  private async run(request: PlainRequest): Promise<PlainResponse> {
    const fault = this.consumeFault(request);
    const killCountAtStart = this.killCount;
    await this.sleepHalfLatency();
    if (this.killCount !== killCountAtStart) return never();
    this.throwIfCutBeforeRun(fault);
    if (fault === 'hang_before_run') return never();
    if (fault === 'fail_before_run') return createResponse(failedStatus, '');
    const response = this.execute(request);
    if (fault === 'crash_after_run') this.kill();
    if (fault === 'hang_after_run') return never();
    if (fault === 'lose_answer') throw createLost(this.options.target);
    await this.sleepHalfLatency();
    return response;
  }

  private throwIfCutBeforeRun(fault: PlainFault): void {
    if (fault === 'crash_before_run') this.kill();
    const isCut = fault === 'crash_before_run' || fault === 'cut_before_run';
    if (isCut) throw createLost(this.options.target);
  }

  private consumeFault(request: PlainRequest): PlainFault {
    const {crashText} = this;
    if (crashText !== undefined && request.body.includes(crashText)) {
      return 'crash_before_run';
    }
    return this.faults.shift() ?? 'none';
  }

  private execute(request: PlainRequest): PlainResponse {
    const {target, clock, deduplicatesByKey = false} = this.options;
    const key = getKey(request);
    const earlier = deduplicatesByKey
      ? this.ledger.getResponse(key)
      : undefined;
    if (earlier !== undefined) return earlier;
    const {method, path, body} = request;
    const number = this.ledger.getExecutions().length + 1;
    const response = createResponse(okStatus, JSON.stringify({number, key}));
    const atMs = clock.nowMs();
    this.ledger.addExecution({target, key, method, path, body, atMs}, response);
    return response;
  }

  private async sleepHalfLatency(): Promise<void> {
    const {clock, latencyMs = 0} = this.options;
    if (latencyMs > 0) await clock.sleep(latencyMs / 2);
  }
}

function getKey({headers}: PlainRequest): string {
  const entries = Object.entries(headers);
  const found = entries.find(([name]) => name.toLowerCase() === keyHeader);
  return found?.[1] ?? '';
}

function createResponse(status: number, body: string): PlainResponse {
  return {status, headers: {'content-type': 'application/json'}, body};
}

function never(): Promise<never> {
  return new Promise(() => {});
}
