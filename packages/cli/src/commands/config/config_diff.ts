/** The `config diff` command. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {diffSchema} from '../../client/response_schemas.js';
import {renderDifference} from '../../output/render_difference.js';
import {readText} from '../../utils/read_text.js';
import {OperatorCommand} from '../base_command.js';

/** Prints the lines in which a file differs from the accepted configuration. */
export class ConfigDiff extends OperatorCommand {
  static override summary = 'Compare a file with the accepted configuration';
  static override args = {
    file: Args.string({
      description: 'Path of the configuration file',
      required: true,
    }),
  };

  async run(): Promise<z.output<typeof diffSchema>> {
    const {args, flags} = await this.parse(ConfigDiff);
    const body = await this.getClient(flags.daemon).send({
      method: 'POST',
      path: '/ops/v1/config/diff',
      body: {text: await readText(args.file)},
      schema: diffSchema,
    });
    this.log(`against version ${body.base_version}`);
    for (const line of body.differences) this.log(renderDifference(line));
    return body;
  }
}
