/** The `team revoke` command. */
import {TeamCommand} from './team_command.js';

/** Revokes a calling team's approval in the accepted configuration. */
export class TeamRevoke extends TeamCommand {
  static override summary = 'Revoke the approval of a calling team';

  protected override readonly change = {
    verb: 'revoke',
    state: 'is not approved',
  } as const;
}
