/** Decides when to dispatch a queued call, and to which target; does no I/O. */
import type {
  CallId,
  DataCentreId,
  ModelId,
  ProgramId,
  ServiceId,
  TargetId,
} from '@marigoldpost/common';
import type {CallClass} from '@marigoldpost/settings';
import type {CacheEvent, EngineLoad} from '@marigoldpost/targets';

/** A call to be queued and dispatched to a target. */
export interface WaitingCall {
  readonly callId: CallId;
  readonly program: ProgramId;
  /** Program itself, or the outermost parent of a sub-agent. */
  readonly rootProgram: ProgramId;
  readonly service: ServiceId;
  /** Absent for a plain service. */
  readonly model?: ModelId;
  readonly callClass: CallClass;
  /** Tokens of the prompt including its history; 0 for a plain service. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Chained hashes of the prompt's full blocks, first block first. */
  readonly blockHashes: readonly string[];
  /** Deadline of the caller on the scheduler's clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Targets at which the call has failed. */
  readonly excludedTargets: ReadonlySet<TargetId>;
  /** Whether it must run alone on a target, as one crashed while running it. */
  readonly isExclusive: boolean;
  /** Number of calls that the program has completed; 0 for its first one. */
  readonly turnIndex: number;
}

/** Registered properties of a target. */
export interface SchedulerTarget {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly models: readonly ModelId[];
  /** Whether it accepts new calls; false while it drains or is unhealthy. */
  readonly isOpen: boolean;
}

/** Decision to send a call to a target now. */
export interface Dispatch {
  readonly callId: CallId;
  readonly target: TargetId;
  /** Reasons for the target: the terms of its cost by name, in milliseconds. */
  readonly terms: Readonly<Record<string, number>>;
}

/** Token usage of a finished call, as the target reports it. */
export interface CallUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Instruction to release or move a program's cache on a target. */
export interface CacheAction {
  readonly kind: 'release' | 'move';
  readonly program: ProgramId;
  readonly target: TargetId;
  /** Target that receives the cache; only for `move`. */
  readonly destination?: TargetId;
}

/**
 * Queueing, placement and cache retention of one daemon. The caller invokes
 * `takeDispatches` after each change that may allow a dispatch, and again at
 * `getNextWakeMs`.
 */
export abstract class CallScheduler {
  /**
   * Queues a call; throws `overloaded` if its expected wait is too long.
   * @param call - Call to queue.
   */
  abstract addCall(call: WaitingCall): void;

  /**
   * Removes a queued or running call that will not finish.
   * @param callId - Id of the call; an unknown one is ignored.
   */
  abstract removeCall(callId: CallId): void;

  /** Dequeues the calls to send now; they count as running from then on. */
  abstract takeDispatches(): readonly Dispatch[];

  /**
   * Records the first token of a running call.
   * @param callId - Id of the call; an unknown one is ignored.
   */
  abstract recordFirstToken(callId: CallId): void;

  /**
   * Records that a running call is complete.
   * @param callId - Id of the call.
   * @param usage - Tokens that it used.
   */
  abstract recordFinished(callId: CallId, usage: CallUsage): void;

  /**
   * Records that a program has ended; its cache becomes due for release.
   * @param program - Program that has ended.
   */
  abstract recordProgramEnd(program: ProgramId): void;

  /**
   * Replaces the targets; missing ones count as closed.
   * @param targets - Targets of all services.
   */
  abstract setTargets(targets: readonly SchedulerTarget[]): void;

  /**
   * Updates the load of a target from its report, which may lag.
   * @param target - Target that sent the report.
   * @param load - Reported load.
   */
  abstract updateLoad(target: TargetId, load: EngineLoad): void;

  /**
   * Applies the cache events of a target.
   * @param target - Target that sent the events.
   * @param events - Events in order; gaps are allowed.
   */
  abstract applyCacheEvents(
    target: TargetId,
    events: readonly CacheEvent[],
  ): void;

  /** Removes and returns the cache actions that are due. */
  abstract takeCacheActions(): readonly CacheAction[];

  /** Gets the time for the next call, on the scheduler's clock, if any. */
  abstract getNextWakeMs(): number | undefined;

  /** Gets the number of queued calls of all services. */
  abstract getQueueLength(): number;
}
