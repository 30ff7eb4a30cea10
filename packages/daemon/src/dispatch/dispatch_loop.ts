/** Drives the scheduler: hands calls in, and hands dispatches to their runners. */
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

// A wake due now still lets the event loop serve other work first.
const minWakeMs = 1;

/** Options of a dispatch loop. */
export interface DispatchLoopOptions {
  readonly scheduler: CallScheduler;
  readonly clock: Clock;
  /** Carries out a release or a move of cache; must not throw. */
  readonly onCacheAction: (action: CacheAction) => void;
}

/** A call that waits for its dispatch. */
interface Waiter {
  readonly dispatched: Deferred<Dispatch>;
  readonly deadline: Timer;
}

/** Runs a scheduler on a clock. */
export class DispatchLoop {
  private readonly waiters = new Map<CallId, Waiter>();
  private wake: Timer | undefined;

  private constructor(private readonly options: DispatchLoopOptions) {}

  /**
   * Creates a loop.
   * @param options - Scheduler, clock and receiver of cache actions.
   */
  static create(options: DispatchLoopOptions): DispatchLoop {
    return new DispatchLoop(options);
  }

  /**
   * Waits until the scheduler sends a call to a target. Throws `overloaded`,
   * and `deadline_exceeded` when the call's deadline comes first; it was not
   * run then.
   * @param call - The call.
   * @param signal - Takes the call back.
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
    this.pump();
    try {
      return await dispatched.promise;
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  /**
   * Notes a running call's first token.
   * @param callId - The call.
   */
  noteFirstToken(callId: CallId): void {
    this.options.scheduler.noteFirstToken(callId);
    this.pump();
  }

  /**
   * Notes that a running call is complete.
   * @param callId - The call.
   * @param usage - What it used.
   */
  noteFinished(callId: CallId, usage: CallUsage): void {
    this.options.scheduler.noteFinished(callId, usage);
    this.pump();
  }

  /**
   * Removes a running call that will not finish on its target.
   * @param callId - The call.
   */
  removeCall(callId: CallId): void {
    this.options.scheduler.removeCall(callId);
    this.pump();
  }

  /**
   * Notes that a program has ended.
   * @param program - The program.
   */
  noteProgramEnded(program: ProgramId): void {
    this.options.scheduler.noteProgramEnded(program);
    this.pump();
  }

  /**
   * Replaces the set of targets.
   * @param targets - Every target of every service.
   */
  setTargets(targets: readonly SchedulerTarget[]): void {
    this.options.scheduler.setTargets(targets);
    this.pump();
  }

  /**
   * Takes in a target's report.
   * @param target - The target.
   * @param load - Its report.
   */
  noteLoad(target: TargetId, load: EngineLoad): void {
    this.options.scheduler.noteLoad(target, load);
    this.pump();
  }

  /**
   * Takes in a target's cache events.
   * @param target - The target.
   * @param events - Its events.
   */
  noteCacheEvents(target: TargetId, events: readonly CacheEvent[]): void {
    this.options.scheduler.noteCacheEvents(target, events);
  }

  /** Stops the loop; calls that still wait are refused as not run. */
  stop(): void {
    this.wake?.cancel();
    for (const callId of [...this.waiters.keys()]) {
      const message = `call "${callId}" was not sent: the daemon stops`;
      this.rejectWaiter(callId, MarigoldpostError.create('draining', message));
    }
  }

  private pump(): void {
    for (const dispatch of this.options.scheduler.takeDispatches()) {
      this.resolveWaiter(dispatch);
    }
    for (const action of this.options.scheduler.takeCacheActions()) {
      this.options.onCacheAction(action);
    }
    this.setWake();
  }

  private setWake(): void {
    this.wake?.cancel();
    this.wake = undefined;
    const wakeMs = this.options.scheduler.getNextWakeMs();
    if (wakeMs === undefined) return;
    const delayMs = Math.max(minWakeMs, wakeMs - this.options.clock.nowMs());
    this.wake = this.options.clock.setTimer(delayMs, () => this.pump());
  }

  private resolveWaiter(dispatch: Dispatch): void {
    const waiter = this.takeWaiter(dispatch.callId);
    if (waiter === undefined) {
      this.options.scheduler.removeCall(dispatch.callId);
    } else waiter.dispatched.resolve(dispatch);
  }

  private rejectWaiter(callId: CallId, error: MarigoldpostError): void {
    const waiter = this.takeWaiter(callId);
    if (waiter === undefined) return;
    this.options.scheduler.removeCall(callId);
    waiter.dispatched.reject(toNotRun(error));
    this.pump();
  }

  private takeWaiter(callId: CallId): Waiter | undefined {
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

/** A call that was never sent has surely not run. */
function toNotRun(error: MarigoldpostError): MarigoldpostError {
  if (error.outcome === 'not_run') return error;
  return MarigoldpostError.create(error.kind, error.message, {
    cause: error,
    outcome: 'not_run',
  });
}
