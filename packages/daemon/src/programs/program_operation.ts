/** Reads and changes of programs, as they travel to a program's holder. */
import type {ProgramId, TeamId} from '@marigoldpost/common';
import type {ProgramHistory, ProgramView} from '@marigoldpost/programs';
import type {BudgetConfig} from '@marigoldpost/settings';

/** Opens a program. */
interface AddOperation {
  readonly kind: 'add';
  readonly team: TeamId;
  readonly program: ProgramId;
  readonly parent?: ProgramId;
  readonly budget: BudgetConfig;
}

/** Reads or ends a program. */
interface ProgramIdOperation {
  readonly kind: 'view' | 'history' | 'end';
  /** The caller's team; an operator's operation has none. */
  readonly team?: TeamId;
  readonly program: ProgramId;
}

/** An operation on one program. */
export type ProgramOperation = AddOperation | ProgramIdOperation;

/** Result of an operation; `history` only for a history. */
export interface ProgramOperationResult {
  readonly view?: ProgramView;
  readonly history?: ProgramHistory;
}
