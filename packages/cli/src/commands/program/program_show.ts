/** The `program show` command. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {programSchema} from '../../client/response_schemas.js';
import {renderProgram} from '../../output/render_program.js';
import {OperatorCommand} from '../base_command.js';

/**
 * Prints the budget, usage and calls of a program, with the reason for each
 * target.
 */
export class ProgramShow extends OperatorCommand {
  static override summary = 'Show the budget, usage and calls of a program';
  static override args = {
    program: Args.string({description: 'Id of the program', required: true}),
  };

  async run(): Promise<z.output<typeof programSchema>> {
    const {args, flags} = await this.parse(ProgramShow);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: `/ops/v1/programs/${encodeURIComponent(args.program)}`,

      schema: programSchema,
    });
    this.log(renderProgram(body));
    return body;
  }
}
