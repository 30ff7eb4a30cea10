/** Connects the caller server to the daemon's calls and programs. */
import {
  type Clock,
  getPartitionOfProgram,
  MarigoldpostError,
  type ProgramId,
  type Random,
  type TeamId,
  toId,
} from '@marigoldpost/common';
import {CallGateway, type ProgramRequest} from '@marigoldpost/entry';
import type {
  Call,
  CallEvent,
  ProgramHistory,
  ProgramView,
} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {CallRouter} from './calls/call_router.js';
import type {PartitionLocator} from './calls/partition_locator.js';
import type {ProgramOperationRunner} from './programs/program_operation_runner.js';
import type {ProgramOperation} from './programs/program_operation.js';

const programTokenLength = 20;

/** Parts of the daemon that a gateway uses. */
export interface DaemonGatewayOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly router: CallRouter;
  /** Runs operations on programs, at whichever daemon holds them. */
  readonly operator: ProgramOperationRunner;
  readonly locator: PartitionLocator;
  /** Gets the operators' configuration; `undefined` until one is active. */
  readonly getConfig: () => OperatorsConfig | undefined;
  /** Whether the daemon accepts new calls. */
  readonly isReady: () => boolean;
}

/** Routes calls, and runs operations on programs, wherever they are held. */
export class DaemonGateway extends CallGateway {
  private constructor(private readonly options: DaemonGatewayOptions) {
    super();
  }

  /**
   * Creates a gateway.
   * @param options - Parts of the daemon that the gateway uses.
   */
  static create(options: DaemonGatewayOptions): DaemonGateway {
    return new DaemonGateway(options);
  }

  override getConfig(): OperatorsConfig | undefined {
    return this.options.getConfig();
  }

  override isReady(): boolean {
    return this.options.isReady();
  }

  override runCall(call: Call, signal: AbortSignal): AsyncIterable<CallEvent> {
    return this.options.router.runCall(call, signal);
  }

  override addProgram(request: ProgramRequest): Promise<ProgramView> {
    const partition =
      request.parent === undefined
        ? this.options.locator.chooseForNewProgram()
        : getPartitionOfProgram(request.parent);
    const token = this.options.random.nextToken(programTokenLength);
    const program = toId<ProgramId>(`${partition}.${token}`);
    return this.getView({kind: 'add', program, ...request});
  }

  override getProgram(team: TeamId, program: ProgramId): Promise<ProgramView> {
    return this.getView({kind: 'view', team, program});
  }

  override async getHistory(
    team: TeamId,
    program: ProgramId,
  ): Promise<ProgramHistory> {
    const operation = {kind: 'history', team, program} as const;
    const {history} = await this.options.operator.run(operation);
    if (history !== undefined) return history;
    throw createMissingResultError(operation);
  }

  override endProgram(team: TeamId, program: ProgramId): Promise<ProgramView> {
    return this.getView({kind: 'end', team, program});
  }

  private async getView(operation: ProgramOperation): Promise<ProgramView> {
    const {view} = await this.options.operator.run(operation);
    if (view !== undefined) return view;
    throw createMissingResultError(operation);
  }
}

function createMissingResultError(
  operation: ProgramOperation,
): MarigoldpostError {
  const message = `operation "${operation.kind}" on program "${operation.program}" returned no result`;
  return MarigoldpostError.create('internal', message);
}
