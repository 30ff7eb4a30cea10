/** Brings each call to the holder of its partition, here or at a peer. */
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
/** Leases' lengths that a call waits for a partition to find a new holder. */
const maxWaitLeases = 2;

/** Options of a call router. */
export interface CallRouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly manager: PartitionManager;
  readonly locator: PartitionLocator;
  readonly runner: CallRunner;
  readonly relay: CallRelay;
  /** Gets the length of a lease, in milliseconds. */
  readonly getLeaseMs: () => number;
}

/** What a caller has received of one call. */
interface RouteProgress {
  call: Call;
  partition: PartitionId;
  isAccepted: boolean;
  receivedTokens: number;
  lastTarget: TargetId | undefined;
}

/** Routes calls, and sends them on when a holder is lost. */
export class CallRouter {
  private constructor(private readonly options: CallRouterOptions) {}

  /**
   * Creates a router.
   * @param options - Where partitions are and how to reach them.
   */
  static create(options: CallRouterOptions): CallRouter {
    return new CallRouter(options);
  }

  /**
   * Runs a call wherever its partition is held. When the holder is lost, the
   * call is sent to the next one, which picks up what was under way.
   * @param call - The call.
   * @param signal - The caller went away.
   */
  async *runCall(call: Call, signal: AbortSignal): AsyncGenerator<CallEvent> {
    const progress = this.placeCall(call);
    const {clock, random} = this.options;
    const startMs = clock.nowMs();
    const backoff = Backoff.create(backoffOptions, random);
    for (;;) {
      try {
        yield* this.runOnce(progress, signal);
        return;
      } catch (error) {
        const waitedMs = clock.nowMs() - startMs;
        if (!this.canSendAgain(error, waitedMs, call)) throw error;
        this.moveUnplaced(progress);
        await clock.sleep(backoff.nextDelayMs(), signal);
      }
    }
  }

  private placeCall(call: Call): RouteProgress {
    const program = this.getProgramOfCall(call);
    // The holder answers a call that is sent again by the key of the first.
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
    };
  }

  private getProgramOfCall(call: Call) {
    if (call.program !== undefined) return call.program;
    if (call.idempotencyKey === undefined) return undefined;
    const partitions = this.options.locator.getAllPartitions();
    return getProgramForKey(call.team, call.idempotencyKey, partitions);
  }

  /** A call that opens a program may open it in any other partition. */
  private moveUnplaced(progress: RouteProgress): void {
    if (progress.call.program !== undefined) return;
    progress.partition = this.options.locator.chooseForNewProgram();
  }

  private async *runOnce(
    progress: RouteProgress,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    for await (const event of this.send(progress, signal)) {
      if (noteEvent(progress, event)) yield event;
    }
  }

  private send(
    progress: RouteProgress,
    signal: AbortSignal,
  ): AsyncIterable<CallEvent> {
    const call = toResumedCall(progress);
    const keeper = this.options.manager.getKeeper(progress.partition);
    return keeper === undefined
      ? this.options.relay.sendCall(progress.partition, call, signal)
      : this.options.runner.runCall(keeper, call, signal);
  }

  private canSendAgain(error: unknown, waitedMs: number, call: Call): boolean {
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

/** Notes an event; false for one that the caller has already. */
function noteEvent(progress: RouteProgress, event: CallEvent): boolean {
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
      return noteToken(progress, event.index);
    case 'finished':
      return true;
  }
}

function noteToken(progress: RouteProgress, index: number): boolean {
  const {call} = progress;
  const offset = call.kind === 'chat' ? call.offsetTokens : 0;
  const expected = offset + progress.receivedTokens;
  if (index < expected) return false;
  if (index > expected) {
    const message = `call "${call.callId}" got token ${index} where ${expected} was due`;
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
