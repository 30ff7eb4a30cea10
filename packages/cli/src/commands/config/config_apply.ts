/** The `config apply` command. */
import {Args, Flags} from '@oclif/core';
import type * as z from 'zod';
import {acceptedConfigSchema} from '../../client/response_schemas.js';
import {readText} from '../../utils/read_text.js';
import {OperatorCommand} from '../base_command.js';

/**
 * Replaces the accepted operators' configuration, unless another change was
 * accepted after the base version.
 */
export class ConfigApply extends OperatorCommand {
  static override summary = "Replace the accepted operators' configuration";
  static override args = {
    file: Args.string({
      description: 'Path of the configuration file',
      required: true,
    }),
  };
  static override flags = {
    why: Flags.string({
      description: 'Reason, for the audit trail',
      required: true,
    }),
    'base-version': Flags.integer({
      description: 'Version that was edited; 0 for the first configuration',
      required: true,
      min: 0,
    }),
  };

  async run(): Promise<z.output<typeof acceptedConfigSchema>> {
    const {args, flags} = await this.parse(ConfigApply);
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: '/ops/v1/config',
      body: {
        text: await readText(args.file),
        base_version: flags['base-version'],
        why: flags.why,
      },
      schema: acceptedConfigSchema,
    });
    this.log(`version ${body.version} is accepted`);
    return body;
  }
}
