/** Runs operations on programs at the daemon that holds the program. */
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
import type {PartitionManager, ProgramManager} from '@marigoldpost/programs';
import type {PartitionLocator} from '../calls/partition_locator.js';
import type {
  ProgramOperation,
  ProgramOperationResult,
} from './program_operation.js';

const timeoutMs = 2000;
const maxAttempts = 5;
const backoffOptions = {baseMs: 50, maxMs: 500};

/** Parts of the daemon that a runner uses. */
export interface ProgramOperationRunnerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly manager: PartitionManager;
  readonly locator: PartitionLocator;
  readonly transport: PeerTransport;
}

/**
 * Runs operations here or at a peer. Every operation is idempotent, so it is
 * retried when its reply is lost.
 */
export class ProgramOperationRunner {
  private constructor(
    private readonly options: ProgramOperationRunnerOptions,
  ) {}

  /**
   * Creates a runner.
   * @param options - Held partitions, their locator and the peer transport.
   */
  static create(
    options: ProgramOperationRunnerOptions,
  ): ProgramOperationRunner {
    return new ProgramOperationRunner(options);
  }

  /**
   * Runs an operation at the holder of its program. Retries while the holder is
   * unknown, unreachable or changing.
   * @param operation - The operation, which names its program.
   */
  async run(operation: ProgramOperation): Promise<ProgramOperationResult> {
    const {clock, random} = this.options;
    const backoff = Backoff.create(backoffOptions, random);
    for (let attempts = 1; ; attempts++) {
      try {
        return await this.runOnce(operation);
      } catch (error) {
        if (attempts >= maxAttempts || !isRetryable(error)) throw error;
        await clock.sleep(backoff.nextDelayMs());
      }
    }
  }

  /**
   * Runs an operation on a program that this daemon holds. Throws `not_holder`
   * if it does not hold the program's partition.
   * @param operation - The operation, which names its program.
   */
  async runLocally(
    operation: ProgramOperation,
  ): Promise<ProgramOperationResult> {
    const partition = getPartitionOfProgram(operation.program);
    const manager = this.options.manager.getProgramManager(partition);
    if (manager !== undefined) return applyOperation(manager, operation);
    const message = `partition "${partition}" is not held by this daemon`;
    throw MarigoldpostError.create('not_holder', message);
  }

  private async runOnce(
    operation: ProgramOperation,
  ): Promise<ProgramOperationResult> {
    const partition = getPartitionOfProgram(operation.program);
    if (this.options.manager.getProgramManager(partition) !== undefined) {
      return this.runLocally(operation);
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
    const message = `daemon "${holder.daemon}" sent reply "${reply.case ?? 'none'}" to operation "${operation.kind}", expected "operation"`;
    throw MarigoldpostError.create('internal', message);
  }
}

async function applyOperation(
  programManager: ProgramManager,
  operation: ProgramOperation,
): Promise<ProgramOperationResult> {
  const {program} = operation;
  const team = operation.team ?? programManager.getTeamOrThrow(program);
  switch (operation.kind) {
    case 'add':
      return {view: await programManager.addProgram(operation)};
    case 'view':
      return {view: programManager.getProgramViewOrThrow(team, program)};
    case 'history':
      return {history: programManager.getHistoryOrThrow(team, program)};
    case 'end':
      return {view: await programManager.endProgram(team, program)};
  }
}

function isRetryable(error: unknown): boolean {
  return isErrorOfKind(
    error,
    'not_holder',
    'partition_unavailable',
    'peer_unavailable',
    'peer_lost',
    'fenced',
  );
}
