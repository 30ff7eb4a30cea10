/** `config status`. */
import type * as z from 'zod';
import {statusSchema} from '../../client/bodies.js';
import {renderConfigStatus} from '../../output/render_status.js';
import {OperatorCommand} from '../base_command.js';

/** Show the version in force on each daemon. */
export class ConfigStatus extends OperatorCommand {
  static override summary = 'Show the version in force on each daemon';

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
