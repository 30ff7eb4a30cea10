/** The `config status` command. */
import type * as z from 'zod';
import {statusSchema} from '../../client/response_schemas.js';
import {renderConfigStatus} from '../../output/render_status.js';
import {OperatorCommand} from '../base_command.js';

/** Prints the configuration version that is active on each daemon. */
export class ConfigStatus extends OperatorCommand {
  static override summary =
    'Show the configuration version applied on each daemon';

  async run(): Promise<z.output<typeof statusSchema>> {
    const {flags} = await this.parse(ConfigStatus);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: '/ops/v1/status',

      schema: statusSchema,
    });
    this.log(renderConfigStatus(body));
    return body;
  }
}
