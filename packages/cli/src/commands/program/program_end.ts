/** The `program end` command. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {programSchema} from '../../client/response_schemas.js';
import {renderProgram} from '../../output/render_program.js';
import {OperatorCommand} from '../base_command.js';

/** Ends a program and releases its cache. */
export class ProgramEnd extends OperatorCommand {
  static override summary = 'End a program and release its cache';
  static override args = {
    program: Args.string({description: 'Id of the program', required: true}),
  };

  async run(): Promise<z.output<typeof programSchema>> {
    const {args, flags} = await this.parse(ProgramEnd);
    const body = await this.getClient(flags.daemon).send({
      method: 'DELETE',
      path: `/ops/v1/programs/${encodeURIComponent(args.program)}`,

      schema: programSchema,
    });
    this.log(renderProgram(body));
    return body;
  }
}
