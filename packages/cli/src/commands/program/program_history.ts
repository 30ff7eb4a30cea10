/** `program history`. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {messagesSchema} from '../../client/bodies.js';
import {OperatorCommand} from '../base_command.js';

/** Print the history of a program. */
export class ProgramHistory extends OperatorCommand {
  static override summary = 'Print the history of a program';
  static override args = {
    program: Args.string({description: 'Id of the program', required: true}),
  };

  async run(): Promise<z.output<typeof messagesSchema>> {
    const {args, flags} = await this.parse(ProgramHistory);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: `/ops/v1/programs/${encodeURIComponent(args.program)}/history`,

      schema: messagesSchema,
    });
    for (const {role, content} of body.messages) {
      this.log(`${role}: ${content}`);
    }
    return body;
  }
}
