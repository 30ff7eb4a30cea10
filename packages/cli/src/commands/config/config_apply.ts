/** `config apply`. */
import {Args, Flags} from '@oclif/core';
import type * as z from 'zod';
import {configTextSchema} from '../../client/bodies.js';
import {readText} from '../../utils/read_text.js';
import {OperatorCommand} from '../base_command.js';

/** Replace the accepted text. */
export class ConfigApply extends OperatorCommand {
  static override summary = 'Replace the accepted text';
  static override args = {
    file: Args.string({description: 'Path of the text', required: true}),
  };
  static override flags = {
    why: Flags.string({
      description: 'Reason, for the audit trail',
      required: true,
    }),
    'base-version': Flags.integer({
      description: 'Version that was edited; 0 for the first text',
      required: true,
      min: 0,
    }),
  };

  async run(): Promise<z.output<typeof configTextSchema>> {
    const {args, flags} = await this.parse(ConfigApply);
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: '/ops/v1/config',
      body: {
        text: await readText(args.file),
        base_version: flags['base-version'],
        why: flags.why,
      },
      schema: configTextSchema,
    });
    this.log(`version ${body.version} is accepted`);
    return body;
  }
}
