/** Decides which waiting call goes where and when; makes no I/O. */
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

/** A call that waits for a target. */
export interface WaitingCall {
  readonly callId: CallId;
  readonly program: ProgramId;
  /** The program itself, or the outermost parent of a sub-agent. */
  readonly rootProgram: ProgramId;
  readonly service: ServiceId;
  /** Absent for a plain service. */
  readonly model?: ModelId;
  readonly callClass: CallClass;
  /** Tokens of the whole prompt, history included; 0 for a plain service. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Chained hashes of the prompt's full blocks, first block first. */
  readonly blockHashes: readonly string[];
  /** When the caller gives up, on the scheduler's clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Targets that failed the call before. */
  readonly excludedTargets: ReadonlySet<TargetId>;
  /** Runs with nothing else on its target, after a target died with it. */
  readonly isAlone: boolean;
  /** Whether the program has already completed calls. */
  readonly turnIndex: number;
}

/** A target as the scheduler sees it. */
export interface SchedulerTarget {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly models: readonly ModelId[];
  /** Takes new work; false while it leaves or is out of health. */
  readonly isOpen: boolean;
}

/** A call that goes to a target now. */
export interface Dispatch {
  readonly callId: CallId;
  readonly target: TargetId;
  /** Why this target: the decision's terms by name, in milliseconds. */
  readonly terms: Readonly<Record<string, number>>;
}

/** What a finished call used. */
export interface CallUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Cache to release or to move, on a target. */
export interface CacheAction {
  readonly kind: 'release' | 'move';
  readonly program: ProgramId;
  readonly target: TargetId;
  /** Where to move it. */
  readonly destination?: TargetId;
}

/**
 * Queue, placement and cache holding of one daemon. The owner calls
 * `takeDispatches` after anything that may let a call go, and again at
 * `getNextWakeMs`.
 */
export abstract class CallScheduler {
  /**
   * Adds a call to the queue; throws `overloaded` when it has no chance.
   * @param call - The call.
   */
  abstract addCall(call: WaitingCall): void;

  /**
   * Removes a call that waits or runs, and that will not finish.
   * @param callId - The call; an unknown one is left alone.
   */
  abstract removeCall(callId: CallId): void;

  /** Takes the calls that go now; each counts as running from here on. */
  abstract takeDispatches(): readonly Dispatch[];

  /**
   * Notes a running call's first token.
   * @param callId - The call.
   */
  abstract noteFirstToken(callId: CallId): void;

  /**
   * Notes that a running call is complete.
   * @param callId - The call.
   * @param usage - What it used.
   */
  abstract noteFinished(callId: CallId, usage: CallUsage): void;

  /**
   * Notes that a program has ended; its cache becomes due for release.
   * @param program - The program.
   */
  abstract noteProgramEnded(program: ProgramId): void;

  /**
   * Replaces the set of targets.
   * @param targets - Every target of every service.
   */
  abstract setTargets(targets: readonly SchedulerTarget[]): void;

  /**
   * Takes in a target's own, lagging report.
   * @param target - The target.
   * @param load - Its report.
   */
  abstract noteLoad(target: TargetId, load: EngineLoad): void;

  /**
   * Takes in a target's cache events.
   * @param target - The target.
   * @param events - Events in order, perhaps with gaps.
   */
  abstract noteCacheEvents(
    target: TargetId,
    events: readonly CacheEvent[],
  ): void;

  /** Takes the cache actions that are due. */
  abstract takeCacheActions(): readonly CacheAction[];

  /** Gets when the owner should call again, on the scheduler's clock. */
  abstract getNextWakeMs(): number | undefined;

  /** Number of calls that wait. */
  abstract getQueueLength(): number;
}
