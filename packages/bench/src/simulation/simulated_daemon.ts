/** One instance of the scheduler with its part of the traffic. */
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

/** Hears of one call's end. */
export interface CallListener {
  /** The answer is complete. */
  onDone(usage: CallUsage): void;
  /** The caller gave up. */
  onGaveUp(): void;
}

interface Call {
  readonly request: EngineModelRequest;
  readonly listener: CallListener;
  readonly patience: Timer;
  target: TargetId | undefined;
}

const reportIntervalMs = 1_000;

/** Drives a scheduler as the daemon does, without I/O. */
export class SimulatedDaemon {
  private readonly calls = new Map<CallId, Call>();
  private readonly sequences = new Map<TargetId, number>();
  private wake: Timer | undefined;
  private wakeAtMs = Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly scheduler: PolicyScheduler,
    private readonly engines: ReadonlyMap<TargetId, EngineModel>,
  ) {}

  /**
   * Creates a daemon.
   * @param clock - Source of time.
   * @param scheduler - Its scheduler, with targets set.
   * @param engines - Every engine.
   */
  static create(
    clock: Clock,
    scheduler: PolicyScheduler,
    engines: ReadonlyMap<TargetId, EngineModel>,
  ): SimulatedDaemon {
    return new SimulatedDaemon(clock, scheduler, engines);
  }

  /**
   * Reads the engines' reports now and from then on.
   * @param untilMs - When to stop.
   */
  startReports(untilMs: number): void {
    for (const [target, engine] of this.engines) {
      this.readReport(target, engine);
    }
    this.pump();
    if (this.clock.nowMs() >= untilMs) return;
    this.clock.setTimer(reportIntervalMs, () => this.startReports(untilMs));
  }

  /**
   * Adds a call; throws `overloaded` when the scheduler refuses it.
   * @param call - The call.
   * @param request - What the engine gets.
   * @param listener - Hears of the end.
   */
  addCall(
    call: WaitingCall,
    request: EngineModelRequest,
    listener: CallListener,
  ): void {
    this.scheduler.addCall(call);
    const patienceMs = call.deadlineMs - this.clock.nowMs();
    const patience = this.clock.setTimer(patienceMs, () =>
      this.giveUp(call.callId),
    );
    this.calls.set(call.callId, {
      request,
      listener,
      patience,
      target: undefined,
    });
    this.pump();
  }

  /**
   * Notes that a program has ended.
   * @param program - The program.
   */
  endProgram(program: ProgramId): void {
    this.scheduler.noteProgramEnded(program);
    this.pump();
  }

  private pump(): void {
    for (const {callId, target} of this.scheduler.takeDispatches()) {
      this.dispatch(callId, target);
    }
    for (const action of this.scheduler.takeCacheActions()) this.act(action);
    this.setWake(this.scheduler.getNextWakeMs());
  }

  private setWake(atMs: number | undefined): void {
    if (atMs === undefined || atMs >= this.wakeAtMs) return;
    this.wake?.cancel();
    this.wakeAtMs = atMs;
    this.wake = this.clock.setTimer(atMs - this.clock.nowMs(), () => {
      this.wakeAtMs = Infinity;
      this.pump();
    });
  }

  private dispatch(callId: CallId, target: TargetId): void {
    const call = this.calls.get(callId);
    const engine = this.engines.get(target);
    if (call === undefined || engine === undefined) return;
    call.target = target;
    engine.startStream(call.request, {
      onTokens: () => this.scheduler.noteFirstToken(callId),
      onEnd: (usage) => this.finish(callId, call, usage),
    });
  }

  private finish(callId: CallId, call: Call, usage: CallUsage): void {
    call.patience.cancel();
    this.calls.delete(callId);
    this.scheduler.noteFinished(callId, usage);
    call.listener.onDone(usage);
    this.pump();
  }

  private giveUp(callId: CallId): void {
    const call = this.calls.get(callId);
    if (call === undefined) return;
    this.calls.delete(callId);
    this.scheduler.removeCall(callId);
    if (call.target !== undefined) {
      this.engines.get(call.target)?.cancelStream(call.request.streamId);
    }
    call.listener.onGaveUp();
    this.pump();
  }

  private act({kind, program, target, destination}: CacheAction): void {
    const engine = this.engines.get(target);
    if (kind === 'move' && destination !== undefined) {
      const blocks = engine?.exportProgram(program) ?? [];
      this.engines.get(destination)?.importProgram(program, blocks);
    }
    engine?.releaseProgram(program);
  }

  private readReport(target: TargetId, engine: EngineModel): void {
    this.scheduler.noteLoad(target, engine.getLoad());
    const after = this.sequences.get(target) ?? 0;
    const {events} = engine.getCacheEvents(after);
    const last = events[events.length - 1];
    if (last === undefined) return;
    this.sequences.set(target, last.sequence);
    this.scheduler.noteCacheEvents(target, events);
  }
}
