/** `team approve`. */
import {Args, Flags} from '@oclif/core';
import type * as z from 'zod';
import {configTextSchema} from '../../client/bodies.js';
import {OperatorCommand} from '../base_command.js';

/** Approve a calling team in the accepted text. */
export class TeamApprove extends OperatorCommand {
  static override summary = 'Approve a calling team in the accepted text';
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
    const {args, flags} = await this.parse(TeamApprove);
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: `/ops/v1/teams/${encodeURIComponent(args.team)}/approve`,
      body: {why: flags.why},
      schema: configTextSchema,
    });
    this.log(`version ${body.version}: team ${args.team} is approved`);
    return body;
  }
}
