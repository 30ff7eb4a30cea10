/** `config diff`. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {diffSchema} from '../../client/bodies.js';
import {renderDifference} from '../../output/render_difference.js';
import {readText} from '../../utils/read_text.js';
import {OperatorCommand} from '../base_command.js';

/** Compare a file with the accepted text. */
export class ConfigDiff extends OperatorCommand {
  static override summary = 'Compare a file with the accepted text';
  static override args = {
    file: Args.string({description: 'Path of the text', required: true}),
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
