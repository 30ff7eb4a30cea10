/** Runs the scheduler: adds calls and delivers dispatches to their runners. */
import {
  type CallId,
  type Clock,
  Deferred,
  MarigoldpostError,
  type ProgramId,
  type TargetId,
  type Timer,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {
  CacheAction,
  CallScheduler,
  CallUsage,
  Dispatch,
  SchedulerTarget,
  WaitingCall,
} from '@marigoldpost/scheduler';
import type {CacheEvent, EngineLoad} from '@marigoldpost/targets';

// A timer that is already due still lets the event loop run other work first.
const minWakeMs = 1;

/** The scheduler, its clock and the receiver of its cache actions. */
export interface DispatchLoopOptions {
  readonly scheduler: CallScheduler;
  readonly clock: Clock;
  /** Applies a release or a move of a program's cache; must not throw. */
  readonly onCacheAction: (action: CacheAction) => void;
}

/** A call that waits for its dispatch. */
interface Waiter {
  readonly dispatched: Deferred<Dispatch>;
  readonly deadline: Timer;
}

/** Runs a scheduler after each change and at the times that it asks for. */
export class DispatchLoop {
  private readonly waiters = new Map<CallId, Waiter>();
  private wakeTimer: Timer | undefined;

  private constructor(private readonly options: DispatchLoopOptions) {}

  /**
   * Creates a loop.
   * @param options - Scheduler, clock and receiver of cache actions.
   */
  static create(options: DispatchLoopOptions): DispatchLoop {
    return new DispatchLoop(options);
  }

  /**
   * Waits until the scheduler dispatches a call to a target. Throws
   * `overloaded`, and `deadline_exceeded` when the call's deadline expires
   * first; the call was not run then.
   * @param call - A call that is not in the scheduler yet.
   * @param signal - Aborted when the call is cancelled.
   */
  async waitForDispatch(
    call: WaitingCall,
    signal: AbortSignal,
  ): Promise<Dispatch> {
    signal.throwIfAborted();
    this.options.scheduler.addCall(call);
    const dispatched = Deferred.create<Dispatch>();
    const delayMs = call.deadlineMs - this.options.clock.nowMs();
    const deadline = this.options.clock.setTimer(delayMs, () =>
      this.rejectWaiter(call.callId, createDeadlineError(call)),
    );
    this.waiters.set(call.callId, {dispatched, deadline});
    const onAbort = () =>
      this.rejectWaiter(call.callId, toMarigoldpostError(signal.reason));
    signal.addEventListener('abort', onAbort, {once: true});
    this.runScheduler();
    try {
      return await dispatched.promise;
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  /**
   * Records the first token of a running call.
   * @param callId - A dispatched call.
   */
  recordFirstToken(callId: CallId): void {
    this.options.scheduler.recordFirstToken(callId);
    this.runScheduler();
  }

  /**
   * Records that a running call is complete.
   * @param callId - A dispatched call.
   * @param usage - Tokens that the call used.
   */
  recordFinish(callId: CallId, usage: CallUsage): void {
    this.options.scheduler.recordFinished(callId, usage);
    this.runScheduler();
  }

  /**
   * Removes a running call that will not finish on its target.
   * @param callId - A dispatched call.
   */
  removeCall(callId: CallId): void {
    this.options.scheduler.removeCall(callId);
    this.runScheduler();
  }

  /**
   * Records that a program has ended.
   * @param program - The ended program.
   */
  recordProgramEnd(program: ProgramId): void {
    this.options.scheduler.recordProgramEnd(program);
    this.runScheduler();
  }

  /**
   * Replaces the set of targets.
   * @param targets - The targets of all services.
   */
  setTargets(targets: readonly SchedulerTarget[]): void {
    this.options.scheduler.setTargets(targets);
    this.runScheduler();
  }

  /**
   * Updates the load of a target.
   * @param target - An engine.
   * @param load - Load that the engine reported.
   */
  updateLoad(target: TargetId, load: EngineLoad): void {
    this.options.scheduler.updateLoad(target, load);
    this.runScheduler();
  }

  /**
   * Applies a target's cache events.
   * @param target - An engine.
   * @param events - Its events, in order.
   */
  applyCacheEvents(target: TargetId, events: readonly CacheEvent[]): void {
    this.options.scheduler.applyCacheEvents(target, events);
  }

  /** Stops the loop; rejects waiting calls as not run. */
  stop(): void {
    this.wakeTimer?.cancel();
    for (const callId of [...this.waiters.keys()]) {
      const message = `call "${callId}" was not dispatched: the daemon is stopping`;
      this.rejectWaiter(callId, MarigoldpostError.create('draining', message));
    }
  }

  private runScheduler(): void {
    for (const dispatch of this.options.scheduler.takeDispatches()) {
      this.resolveWaiter(dispatch);
    }
    for (const action of this.options.scheduler.takeCacheActions()) {
      this.options.onCacheAction(action);
    }
    this.resetWakeTimer();
  }

  private resetWakeTimer(): void {
    this.wakeTimer?.cancel();
    this.wakeTimer = undefined;
    const wakeMs = this.options.scheduler.getNextWakeMs();
    if (wakeMs === undefined) return;
    const delayMs = Math.max(minWakeMs, wakeMs - this.options.clock.nowMs());
    this.wakeTimer = this.options.clock.setTimer(delayMs, () =>
      this.runScheduler(),
    );
  }

  private resolveWaiter(dispatch: Dispatch): void {
    const waiter = this.removeWaiter(dispatch.callId);
    if (waiter === undefined) {
      this.options.scheduler.removeCall(dispatch.callId);
    } else waiter.dispatched.resolve(dispatch);
  }

  private rejectWaiter(callId: CallId, error: MarigoldpostError): void {
    const waiter = this.removeWaiter(callId);
    if (waiter === undefined) return;
    this.options.scheduler.removeCall(callId);
    waiter.dispatched.reject(toNotRun(error));
    this.runScheduler();
  }

  private removeWaiter(callId: CallId): Waiter | undefined {
    const waiter = this.waiters.get(callId);
    waiter?.deadline.cancel();
    this.waiters.delete(callId);
    return waiter;
  }
}

function createDeadlineError(call: WaitingCall): MarigoldpostError {
  const message = `call "${call.callId}" reached its deadline before a target of service "${call.service}" was free`;
  return MarigoldpostError.create('deadline_exceeded', message);
}

/** Sets the outcome `not_run`: a call that was never sent has not run. */
function toNotRun(error: MarigoldpostError): MarigoldpostError {
  if (error.outcome === 'not_run') return error;
  return MarigoldpostError.create(error.kind, error.message, {
    cause: error,
    outcome: 'not_run',
  });
}
