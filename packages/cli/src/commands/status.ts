/** The `status` command. */
import type * as z from 'zod';
import {statusSchema} from '../client/response_schemas.js';
import {renderStatus} from '../output/render_status.js';
import {OperatorCommand} from './base_command.js';

/** Prints the state of the whole fleet, as one daemon knows it. */
export class Status extends OperatorCommand {
  static override summary =
    'Show the state of the fleet as one daemon knows it';

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
