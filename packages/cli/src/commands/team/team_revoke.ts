/** `team revoke`. */
import {TeamCommand} from './team_command.js';

/** Revoke the approval of a calling team. */
export class TeamRevoke extends TeamCommand {
  static override summary = 'Revoke the approval of a calling team';

  protected override readonly change = {
    verb: 'revoke',
    state: 'is not approved',
  } as const;
}
