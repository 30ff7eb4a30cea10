/** The `team approve` command. */
import {TeamCommand} from './team_command.js';

/** Approves a calling team in the accepted operators' configuration. */
export class TeamApprove extends TeamCommand {
  static override summary =
    'Approve a calling team in the accepted configuration';

  protected override readonly change = {
    verb: 'approve',
    state: 'is approved',
  } as const;
}
