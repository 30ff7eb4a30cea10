/** The `program history` command. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {programHistorySchema} from '../../client/response_schemas.js';
import {OperatorCommand} from '../base_command.js';

/** Prints the messages of a program, oldest first. */
export class ProgramHistory extends OperatorCommand {
  static override summary = 'Print the messages of a program, oldest first';
  static override args = {
    program: Args.string({description: 'Id of the program', required: true}),
  };

  async run(): Promise<z.output<typeof programHistorySchema>> {
    const {args, flags} = await this.parse(ProgramHistory);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: `/ops/v1/programs/${encodeURIComponent(args.program)}/history`,

      schema: programHistorySchema,
    });
    for (const {role, content} of body.messages) {
      this.log(`${role}: ${content}`);
    }
    return body;
  }
}
