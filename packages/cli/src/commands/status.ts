/** `status`. */
import type * as z from 'zod';
import {statusSchema} from '../client/bodies.js';
import {renderStatus} from '../output/render_status.js';
import {OperatorCommand} from './base_command.js';

/** Show the fleet as one daemon sees it. */
export class Status extends OperatorCommand {
  static override summary = 'Show the fleet as one daemon sees it';

  async run(): Promise<z.output<typeof statusSchema>> {
    const {flags} = await this.parse(Status);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: '/ops/v1/status',

      schema: statusSchema,
    });
    this.log(renderStatus(body));
    return body;
  }
}
