/** `team revoke`. */
import {Args, Flags} from '@oclif/core';
import type * as z from 'zod';
import {configTextSchema} from '../../client/bodies.js';
import {OperatorCommand} from '../base_command.js';

/** Revoke the approval of a calling team. */
export class TeamRevoke extends OperatorCommand {
  static override summary = 'Revoke the approval of a calling team';
  static override args = {
    team: Args.string({description: 'Name of the team', required: true}),
  };
  static override flags = {
    why: Flags.string({
      description: 'Reason, for the audit trail',
      required: true,
    }),
  };

  async run(): Promise<z.output<typeof configTextSchema>> {
    const {args, flags} = await this.parse(TeamRevoke);
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: `/ops/v1/teams/${encodeURIComponent(args.team)}/revoke`,
      body: {why: flags.why},
      schema: configTextSchema,
    });
    this.log(`version ${body.version}: team ${args.team} is not approved`);
    return body;
  }
}
