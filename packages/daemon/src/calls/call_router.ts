/** Routes each call to the holder of its partition, here or at a peer. */
import {
  type Clock,
  Backoff,
  getPartitionOfProgram,
  type IdempotencyKey,
  isErrorOfKind,
  MarigoldpostError,
  type PartitionId,
  type Random,
  type TargetId,
  toId,
} from '@marigoldpost/common';
import {
  type Call,
  type CallEvent,
  getProgramForKey,
  type PartitionManager,
} from '@marigoldpost/programs';
import type {CallRunner} from './call_runner.js';
import type {PartitionLocator} from './partition_locator.js';
import type {CallRelay} from './call_relay.js';

const backoffOptions = {baseMs: 20, maxMs: 400};
/** Time that a call waits for a new holder of its partition, in leases. */
const maxWaitLeases = 2;

/** Parts of the daemon that a router uses. */
export interface CallRouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly manager: PartitionManager;
  readonly locator: PartitionLocator;
  readonly runner: CallRunner;
  readonly relay: CallRelay;
  /** Gets the duration of a lease, in milliseconds. */
  readonly getLeaseMs: () => number;
}

/** The part of one call's events that its caller has received. */
interface RouteProgress {
  call: Call;
  partition: PartitionId;
  isAccepted: boolean;
  receivedTokens: number;
  lastTarget: TargetId | undefined;
  /** When the call lost its holder; undefined once a holder sends an event. */
  lostAtMs: number | undefined;
}

/** Routes calls, and retries them when their holder is lost. */
export class CallRouter {
  private constructor(private readonly options: CallRouterOptions) {}

  /**
   * Creates a router.
   * @param options - Held partitions, locator, local runner and relay.
   */
  static create(options: CallRouterOptions): CallRouter {
    return new CallRouter(options);
  }

  /**
   * Runs a call at the holder of its partition. When the holder is lost, the
   * call is sent to the next holder, which resumes the run in flight.
   * @param call - A call with or without a program.
   * @param signal - Aborted when the caller disconnects.
   */
  async *runCall(call: Call, signal: AbortSignal): AsyncGenerator<CallEvent> {
    const progress = this.createProgress(call);
    const {clock, random} = this.options;
    const backoff = Backoff.create(backoffOptions, random);
    for (;;) {
      try {
        yield* this.runOnce(progress, signal);
        return;
      } catch (error) {
        progress.lostAtMs ??= clock.nowMs();
        const waitedMs = clock.nowMs() - progress.lostAtMs;
        if (!this.canRetry(error, waitedMs, call)) throw error;
        this.rechoosePartition(progress);
        await clock.sleep(backoff.nextDelayMs(), signal);
      }
    }
  }

  private createProgress(call: Call): RouteProgress {
    const program = this.getProgramOfCall(call);
    // The key lets a holder recognize the retry of a call that it already runs.
    const idempotencyKey =
      call.idempotencyKey ?? toId<IdempotencyKey>(`call-${call.callId}`);
    return {
      call: {...call, program, idempotencyKey},
      partition:
        program === undefined
          ? this.options.locator.chooseForNewProgram()
          : getPartitionOfProgram(program),
      isAccepted: false,
      receivedTokens: 0,
      lastTarget: undefined,
      lostAtMs: undefined,
    };
  }

  private getProgramOfCall(call: Call) {
    if (call.program !== undefined) return call.program;
    if (call.idempotencyKey === undefined) return undefined;
    const partitions = this.options.locator.getAllPartitions();
    return getProgramForKey(call.team, call.idempotencyKey, partitions);
  }

  /**
   * Chooses another partition for a call that has no program yet; such a call
   * may open its program in any partition.
   */
  private rechoosePartition(progress: RouteProgress): void {
    if (progress.call.program !== undefined) return;
    progress.partition = this.options.locator.chooseForNewProgram();
  }

  private async *runOnce(
    progress: RouteProgress,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    for await (const event of this.send(progress, signal)) {
      progress.lostAtMs = undefined;
      if (recordEvent(progress, event)) yield event;
    }
  }

  private send(
    progress: RouteProgress,
    signal: AbortSignal,
  ): AsyncIterable<CallEvent> {
    const call = toResumedCall(progress);
    const programManager = this.options.manager.getProgramManager(
      progress.partition,
    );
    return programManager === undefined
      ? this.options.relay.sendCall(progress.partition, call, signal)
      : this.options.runner.runCall(programManager, call, signal);
  }

  private canRetry(error: unknown, waitedMs: number, call: Call): boolean {
    const maxWaitMs = this.options.getLeaseMs() * maxWaitLeases;
    if (waitedMs >= Math.min(maxWaitMs, call.timeoutMs)) return false;
    return isErrorOfKind(
      error,
      'not_holder',
      'partition_unavailable',
      'peer_unavailable',
      'peer_lost',
      'fenced',
    );
  }
}

/** Records an event; false if the caller has already received it. */
function recordEvent(progress: RouteProgress, event: CallEvent): boolean {
  switch (event.kind) {
    case 'accepted': {
      if (progress.isAccepted) return false;
      progress.isAccepted = true;
      progress.call = {...progress.call, program: event.program};
      progress.partition = getPartitionOfProgram(event.program);
      return true;
    }
    case 'started':
      progress.lastTarget = event.target;
      return true;
    case 'token':
      return recordToken(progress, event.index);
    case 'finished':
      return true;
  }
}

function recordToken(progress: RouteProgress, index: number): boolean {
  const {call} = progress;
  const offset = call.kind === 'chat' ? call.offsetTokens : 0;
  const expected = offset + progress.receivedTokens;
  if (index < expected) return false;
  if (index > expected) {
    const message = `call "${call.callId}" received token ${index}, expected token ${expected}`;
    throw MarigoldpostError.create('stream_truncated', message);
  }
  progress.receivedTokens += 1;
  return true;
}

function toResumedCall({
  call,
  receivedTokens,
  lastTarget,
}: RouteProgress): Call {
  if (call.kind !== 'chat') return call;
  return {
    ...call,
    offsetTokens: call.offsetTokens + receivedTokens,
    resumeTarget: lastTarget,
  };
}
