/** Base class of the commands that approve or revoke a calling team. */
import {Args, Flags} from '@oclif/core';
import type * as z from 'zod';
import {acceptedConfigSchema} from '../../client/response_schemas.js';
import {OperatorCommand} from '../base_command.js';

/** Change of a team's approval. */
interface TeamChange {
  /** Last segment of the request path. */
  readonly verb: 'approve' | 'revoke';
  /** State of the team after the change, for the printed line. */
  readonly state: string;
}

/** Command that changes whether one calling team is approved. */
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

  async run(): Promise<z.output<typeof acceptedConfigSchema>> {
    const {args, flags} = await this.parse(TeamCommand);
    const {verb, state} = this.change;
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: `/ops/v1/teams/${encodeURIComponent(args.team)}/${verb}`,
      body: {why: flags.why},
      schema: acceptedConfigSchema,
    });
    this.log(`version ${body.version}: team ${args.team} ${state}`);
    return body;
  }
}
