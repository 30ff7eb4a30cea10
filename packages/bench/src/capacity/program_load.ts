/** Calls to one partition, without targets. */
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
import {type ChatCall, ProgramKeeper} from '@marigoldpost/programs';
import {MemoryObjectStore} from '@marigoldpost/standins';

/** Name of the daemon that holds the partition; its calls are counted. */
export const holderName = 'entry-1';

const partition = toId<PartitionId>('dc-1.0');
const target = toId<TargetId>('runner-1');
const hugeNumber = 1_000_000_000;
const maxUncommittedBytes = 33_554_432;

/** Size of one turn. */
export interface TurnSize {
  /** Characters of the caller's new message. */
  readonly promptCharacters: number;
  readonly completionTokens: number;
  /** Time that the engine takes, in milliseconds. */
  readonly engineMs: number;
}

/** One partition on an in-memory platform and a virtual clock. */
export class ProgramLoad {
  private nextCall = 0;

  private constructor(
    readonly clock: VirtualClock,
    readonly store: MemoryObjectStore,
    private readonly keeper: ProgramKeeper,
  ) {}

  /**
   * Creates a partition without programs.
   * @param storeMs - Time that the platform takes for a call.
   */
  static async create(storeMs: number): Promise<ProgramLoad> {
    const clock = VirtualClock.create();
    const store = MemoryObjectStore.create({clock});
    const keeper = await ProgramKeeper.open({
      store: store.createClient(holderName),
      clock,
      random: SeededRandom.create(1),
      partition,
      epoch: toEpoch(1),
      daemon: toId<DaemonId>(holderName),
      getMaxUncommittedBytes: () => maxUncommittedBytes,
    });
    store.setSlownessMs(storeMs);
    return new ProgramLoad(clock, store, keeper);
  }

  /**
   * Runs one turn.
   * @param size - Its size.
   * @param program - The program; a new one by default.
   * @returns The program and the wait for the journal, in milliseconds.
   */
  async runTurn(size: TurnSize, program?: ProgramId) {
    const {clock} = this;
    const call = this.createCall(size, program);
    const traits = {isIdempotent: true, deduplicatesByKey: false};
    const ticket = this.keeper.admitCall(call, traits);
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
    // A padded string shares its padding; a copy has the size of real text.
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
