/** The `config history` command. */
import {Flags} from '@oclif/core';
import type * as z from 'zod';
import {configHistorySchema} from '../../client/response_schemas.js';
import {renderChange} from '../../output/render_change.js';
import {OperatorCommand} from '../base_command.js';

/** Prints the accepted configuration changes, newest first. */
export class ConfigHistory extends OperatorCommand {
  static override summary = 'Show accepted configuration changes, newest first';
  static override flags = {
    limit: Flags.integer({
      description: 'Maximum number of changes to show',
      default: 50,
      min: 1,
      max: 1000,
    }),
  };

  async run(): Promise<z.output<typeof configHistorySchema>> {
    const {flags} = await this.parse(ConfigHistory);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: `/ops/v1/config/history?limit=${flags.limit}`,

      schema: configHistorySchema,
    });
    for (const change of body.changes) this.log(renderChange(change));
    return body;
  }
}
