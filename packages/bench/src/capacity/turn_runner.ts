/** Runs turns on one partition, without targets. */
import {
  type CallId,
  type DaemonId,
  type ModelId,
  type PartitionId,
  type ProgramId,
  SeededRandom,
  type ServiceId,
  type TargetId,
  type TeamId,
  toEpoch,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {type ChatCall, ProgramManager} from '@marigoldpost/programs';
import {MemoryObjectStore} from '@marigoldpost/standins';

/** Name of the daemon that holds the partition; counts its platform calls. */
export const holderName = 'entry-1';

const partition = toId<PartitionId>('dc-1.0');
const target = toId<TargetId>('runner-1');
const hugeNumber = 1_000_000_000;
const maxUncommittedBytes = 33_554_432;

/** Size and engine time of one turn. */
export interface TurnSize {
  /** Length of the caller's new message. */
  readonly promptCharacters: number;
  readonly completionTokens: number;
  /** Time between dispatch and answer, in milliseconds. */
  readonly engineMs: number;
}

/** One partition on an in-memory platform and a virtual clock. */
export class TurnRunner {
  private nextCall = 0;

  private constructor(
    readonly clock: VirtualClock,
    readonly store: MemoryObjectStore,
    private readonly programManager: ProgramManager,
  ) {}

  /**
   * Creates a partition without programs.
   * @param storeMs - Duration of a platform call, in milliseconds.
   */
  static async create(storeMs: number): Promise<TurnRunner> {
    const clock = VirtualClock.create();
    const store = MemoryObjectStore.create({clock});
    const programManager = await ProgramManager.open({
      store: store.createClient(holderName),
      clock,
      random: SeededRandom.create(1),
      partition,
      epoch: toEpoch(1),
      daemon: toId<DaemonId>(holderName),
      getMaxUncommittedBytes: () => maxUncommittedBytes,
    });
    store.setCallDurationMs(storeMs);
    return new TurnRunner(clock, store, programManager);
  }

  /**
   * Runs one turn of a program.
   * @param size - Size and engine time.
   * @param program - Program of the turn; default: a new one.
   * @returns Program, and the wait for journal commits in milliseconds.
   */
  async runTurn(size: TurnSize, program?: ProgramId) {
    const {clock} = this;
    const call = this.createCall(size, program);
    const traits = {isIdempotent: true, deduplicatesByKey: false};
    const ticket = this.programManager.admitCall(call, traits);
    await ticket.waitForTurn(new AbortController().signal);
    const startMs = clock.nowMs();
    await ticket.commitDispatch(target);
    const dispatchMs = clock.nowMs() - startMs;
    await clock.sleep(size.engineMs);
    const answeredAtMs = clock.nowMs();
    const {completionTokens} = size;
    const tokens = Array.from({length: completionTokens}, () => 'word ');
    const usage = {
      promptTokens: Math.ceil(size.promptCharacters / 4),
      cachedTokens: 0,
      completionTokens,
    };
    await ticket.complete(
      {kind: 'chat', tokens, finishReason: 'stop', usage},
      {target, waitMs: 0, terms: {}},
    );
    const waitMs = dispatchMs + clock.nowMs() - answeredAtMs;
    return {program: ticket.program, waitMs};
  }

  private createCall(
    {promptCharacters, completionTokens}: TurnSize,
    program: ProgramId | undefined,
  ): ChatCall {
    this.nextCall += 1;
    const padded = `${this.nextCall} `.padEnd(promptCharacters, 'text ');
    // Padded strings share the memory of their padding; a copy does not, so its
    // size is that of real text.
    const content = Buffer.from(padded).toString();
    return {
      kind: 'chat',
      callId: toId<CallId>(`call-${this.nextCall}`),
      team: toId<TeamId>('team-1'),
      service: toId<ServiceId>('llm'),
      model: toId<ModelId>('model-1'),
      program,
      callClass: 'normal',
      budget: {
        maxTokens: hugeNumber,
        maxCalls: hugeNumber,
        maxWallMs: hugeNumber,
      },
      timeoutMs: hugeNumber,
      messages: [{role: 'user', content}],
      maxTokens: completionTokens,
      offsetTokens: 0,
    };
  }
}
