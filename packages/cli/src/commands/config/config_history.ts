/** `config history`. */
import {Flags} from '@oclif/core';
import type * as z from 'zod';
import {historySchema} from '../../client/bodies.js';
import {renderChange} from '../../output/render_change.js';
import {OperatorCommand} from '../base_command.js';

/** Show accepted changes, newest first. */
export class ConfigHistory extends OperatorCommand {
  static override summary = 'Show accepted changes, newest first';
  static override flags = {
    limit: Flags.integer({
      description: 'Most records to show',
      default: 50,
      min: 1,
      max: 1000,
    }),
  };

  async run(): Promise<z.output<typeof historySchema>> {
    const {flags} = await this.parse(ConfigHistory);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: `/ops/v1/config/history?limit=${flags.limit}`,

      schema: historySchema,
    });
    for (const change of body.changes) this.log(renderChange(change));
    return body;
  }
}
