/** Simulated daemon: one scheduler with its share of the traffic. */
import type {
  CallId,
  Clock,
  ProgramId,
  TargetId,
  Timer,
} from '@marigoldpost/common';
import type {
  CacheAction,
  CallUsage,
  PolicyScheduler,
  WaitingCall,
} from '@marigoldpost/scheduler';
import type {EngineModel, EngineModelRequest} from '@marigoldpost/standins';

/** Listener for the end of one call; exactly one method is called. */
export interface CallListener {
  /** Called when the answer is complete. */
  onDone(usage: CallUsage): void;
  /** Called when the deadline of the call has expired. */
  onTimeout(): void;
}

interface Call {
  readonly request: EngineModelRequest;
  readonly listener: CallListener;
  readonly timeoutTimer: Timer;
  target: TargetId | undefined;
}

const reportIntervalMs = 1_000;

/** Drives a scheduler like the real daemon, but without I/O. */
export class SimulatedDaemon {
  private readonly calls = new Map<CallId, Call>();
  private readonly sequences = new Map<TargetId, number>();
  private wakeTimer: Timer | undefined;
  private wakeAtMs = Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly scheduler: PolicyScheduler,
    private readonly engines: ReadonlyMap<TargetId, EngineModel>,
  ) {}

  /**
   * Creates a daemon that has read no reports.
   * @param clock - Source of time.
   * @param scheduler - Scheduler whose targets are set.
   * @param engines - Engines of all targets, by target id.
   */
  static create(
    clock: Clock,
    scheduler: PolicyScheduler,
    engines: ReadonlyMap<TargetId, EngineModel>,
  ): SimulatedDaemon {
    return new SimulatedDaemon(clock, scheduler, engines);
  }

  /**
   * Reads the engines' load reports and cache events now and every second.
   * @param untilMs - Time of the last read, as given by the clock.
   */
  startReports(untilMs: number): void {
    for (const [target, engine] of this.engines) {
      this.readReport(target, engine);
    }
    this.runScheduler();
    if (this.clock.nowMs() >= untilMs) return;
    this.clock.setTimer(reportIntervalMs, () => this.startReports(untilMs));
  }

  /**
   * Adds a call; throws `overloaded` if the scheduler rejects it.
   * @param call - Call to schedule.
   * @param request - Request that the engine gets on dispatch.
   * @param listener - Notified of the end.
   */
  addCall(
    call: WaitingCall,
    request: EngineModelRequest,
    listener: CallListener,
  ): void {
    this.scheduler.addCall(call);
    const timeoutMs = call.deadlineMs - this.clock.nowMs();
    const timeoutTimer = this.clock.setTimer(timeoutMs, () =>
      this.timeOutCall(call.callId),
    );
    this.calls.set(call.callId, {
      request,
      listener,
      timeoutTimer,
      target: undefined,
    });
    this.runScheduler();
  }

  /**
   * Reports the end of a program to the scheduler.
   * @param program - Program that makes no further calls.
   */
  endProgram(program: ProgramId): void {
    this.scheduler.recordProgramEnd(program);
    this.runScheduler();
  }

  private runScheduler(): void {
    for (const {callId, target} of this.scheduler.takeDispatches()) {
      this.dispatch(callId, target);
    }
    for (const action of this.scheduler.takeCacheActions()) this.apply(action);
    this.scheduleWake(this.scheduler.getNextWakeMs());
  }

  private scheduleWake(atMs: number | undefined): void {
    if (atMs === undefined || atMs >= this.wakeAtMs) return;
    this.wakeTimer?.cancel();
    this.wakeAtMs = atMs;
    this.wakeTimer = this.clock.setTimer(atMs - this.clock.nowMs(), () => {
      this.wakeAtMs = Infinity;
      this.runScheduler();
    });
  }

  private dispatch(callId: CallId, target: TargetId): void {
    const call = this.calls.get(callId);
    const engine = this.engines.get(target);
    if (call === undefined || engine === undefined) return;
    call.target = target;
    engine.startStream(call.request, {
      onTokens: () => this.scheduler.recordFirstToken(callId),
      onEnd: (usage) => this.finish(callId, call, usage),
    });
  }

  private finish(callId: CallId, call: Call, usage: CallUsage): void {
    call.timeoutTimer.cancel();
    this.calls.delete(callId);
    this.scheduler.recordFinished(callId, usage);
    call.listener.onDone(usage);
    this.runScheduler();
  }

  private timeOutCall(callId: CallId): void {
    const call = this.calls.get(callId);
    if (call === undefined) return;
    this.calls.delete(callId);
    this.scheduler.removeCall(callId);
    if (call.target !== undefined) {
      this.engines.get(call.target)?.cancelStream(call.request.streamId);
    }
    call.listener.onTimeout();
    this.runScheduler();
  }

  private apply({kind, program, target, destination}: CacheAction): void {
    const engine = this.engines.get(target);
    if (kind === 'move' && destination !== undefined) {
      const blocks = engine?.exportProgram(program) ?? [];
      this.engines.get(destination)?.importProgram(program, blocks);
    }
    engine?.releaseProgram(program);
  }

  private readReport(target: TargetId, engine: EngineModel): void {
    this.scheduler.updateLoad(target, engine.getLoad());
    const after = this.sequences.get(target) ?? 0;
    const {events} = engine.getCacheEvents(after);
    const last = events[events.length - 1];
    if (last === undefined) return;
    this.sequences.set(target, last.sequence);
    this.scheduler.applyCacheEvents(target, events);
  }
}
