/** What the commands on the approval of calling teams have in common. */
import {Args, Flags} from '@oclif/core';
import type * as z from 'zod';
import {configTextSchema} from '../../client/bodies.js';
import {OperatorCommand} from '../base_command.js';

/** What is done to a team's approval. */
interface TeamChange {
  readonly verb: 'approve' | 'revoke';
  /** State of the team after it. */
  readonly state: string;
}

/** Command that changes the approval of one calling team. */
export abstract class TeamCommand extends OperatorCommand {
  static override args = {
    team: Args.string({description: 'Name of the team', required: true}),
  };
  static override flags = {
    why: Flags.string({
      description: 'Reason, for the audit trail',
      required: true,
    }),
  };

  protected abstract readonly change: TeamChange;

  async run(): Promise<z.output<typeof configTextSchema>> {
    const {args, flags} = await this.parse(TeamCommand);
    const {verb, state} = this.change;
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: `/ops/v1/teams/${encodeURIComponent(args.team)}/${verb}`,
      body: {why: flags.why},
      schema: configTextSchema,
    });
    this.log(`version ${body.version}: team ${args.team} ${state}`);
    return body;
  }
}
