/** Operations on programs, as they are sent to the program's holder. */
import type {ProgramId, TeamId} from '@marigoldpost/common';
import type {ProgramHistory, ProgramView} from '@marigoldpost/programs';
import type {BudgetConfig} from '@marigoldpost/settings';

/** Adds a program. */
interface AddOperation {
  readonly kind: 'add';
  readonly team: TeamId;
  readonly program: ProgramId;
  readonly parent?: ProgramId;
  readonly budget: BudgetConfig;
}

/** Reads a program or its history, or ends the program. */
interface ProgramIdOperation {
  readonly kind: 'view' | 'history' | 'end';
  /** The caller's team; unset for an operator, who may access any program. */
  readonly team?: TeamId;
  readonly program: ProgramId;
}

/** An operation on one program; repeating it has no further effect. */
export type ProgramOperation = AddOperation | ProgramIdOperation;

/** Result: `history` of a history operation, `view` of any other. */
export interface ProgramOperationResult {
  readonly view?: ProgramView;
  readonly history?: ProgramHistory;
}
