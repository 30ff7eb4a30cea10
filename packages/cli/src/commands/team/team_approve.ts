/** `team approve`. */
import {TeamCommand} from './team_command.js';

/** Approve a calling team in the accepted text. */
export class TeamApprove extends TeamCommand {
  static override summary = 'Approve a calling team in the accepted text';

  protected override readonly change = {
    verb: 'approve',
    state: 'is approved',
  } as const;
}
