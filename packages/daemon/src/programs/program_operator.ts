/** Carries out operations on programs, here or at their holder. */
import {create} from '@bufbuild/protobuf';
import {
  Backoff,
  type Clock,
  getPartitionOfProgram,
  isErrorOfKind,
  MarigoldpostError,
  type Random,
} from '@marigoldpost/common';
import {type PeerTransport, RelayOperationSchema} from '@marigoldpost/peers';
import type {PartitionManager, ProgramKeeper} from '@marigoldpost/programs';
import type {PartitionLocator} from '../calls/partition_locator.js';
import type {
  ProgramOperation,
  ProgramOperationResult,
} from './program_operation.js';

const timeoutMs = 2000;
const maxTries = 5;
const backoffOptions = {baseMs: 50, maxMs: 500};

/** Options of an operator. */
export interface ProgramOperatorOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly manager: PartitionManager;
  readonly locator: PartitionLocator;
  readonly transport: PeerTransport;
}

/** Every operation is idempotent, so a lost answer is asked for again. */
export class ProgramOperator {
  private constructor(private readonly options: ProgramOperatorOptions) {}

  /**
   * Creates an operator.
   * @param options - Where programs are and how to reach them.
   */
  static create(options: ProgramOperatorOptions): ProgramOperator {
    return new ProgramOperator(options);
  }

  /**
   * Carries out an operation wherever its program is held.
   * @param operation - The operation.
   */
  async run(operation: ProgramOperation): Promise<ProgramOperationResult> {
    const {clock, random} = this.options;
    const backoff = Backoff.create(backoffOptions, random);
    for (let tries = 1; ; tries++) {
      try {
        return await this.runOnce(operation);
      } catch (error) {
        if (tries >= maxTries || !isHolderLost(error)) throw error;
        await clock.sleep(backoff.nextDelayMs());
      }
    }
  }

  /**
   * Carries out an operation on a program that is held here; throws
   * `not_holder` when it is not.
   * @param operation - The operation.
   */
  async runHere(operation: ProgramOperation): Promise<ProgramOperationResult> {
    const partition = getPartitionOfProgram(operation.program);
    const keeper = this.options.manager.getKeeper(partition);
    if (keeper !== undefined) return runOnKeeper(keeper, operation);
    const message = `partition "${partition}" is not held here`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private async runOnce(
    operation: ProgramOperation,
  ): Promise<ProgramOperationResult> {
    const partition = getPartitionOfProgram(operation.program);
    if (this.options.manager.getKeeper(partition) !== undefined) {
      return this.runHere(operation);
    }
    const holder = this.options.locator.getHolderOrThrow(partition);
    const value = create(RelayOperationSchema, {
      program: operation.program,
      operationJson: JSON.stringify(operation),
    });
    const reply = await this.options.transport.ask(
      holder,
      {case: 'relayOperation', value},
      {timeoutMs},
    );
    if (reply.case === 'operation') {
      return JSON.parse(reply.value.resultJson) as ProgramOperationResult;
    }
    const message = `daemon "${holder.daemon}" answered an operation with "${reply.case ?? 'nothing'}"`;
    throw MarigoldpostError.create('internal', message);
  }
}

async function runOnKeeper(
  keeper: ProgramKeeper,
  operation: ProgramOperation,
): Promise<ProgramOperationResult> {
  const {program} = operation;
  const team = operation.team ?? keeper.getTeamOrThrow(program);
  switch (operation.kind) {
    case 'add':
      return {view: await keeper.addProgram(operation)};
    case 'view':
      return {view: keeper.getProgramViewOrThrow(team, program)};
    case 'history':
      return {history: keeper.getHistoryOrThrow(team, program)};
    case 'end':
      return {view: await keeper.endProgram(team, program)};
  }
}

function isHolderLost(error: unknown): boolean {
  return isErrorOfKind(
    error,
    'not_holder',
    'partition_unavailable',
    'peer_unavailable',
    'peer_lost',
    'fenced',
  );
}
