/** The `quarantine list` command. */
import type * as z from 'zod';
import {quarantineSchema} from '../../client/response_schemas.js';
import {renderQuarantine} from '../../output/render_status.js';
import {OperatorCommand} from '../base_command.js';

/** Prints the quarantined requests and the targets that died on them. */
export class QuarantineList extends OperatorCommand {
  static override summary = 'List the quarantined requests';

  async run(): Promise<z.output<typeof quarantineSchema>> {
    const {flags} = await this.parse(QuarantineList);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: '/ops/v1/quarantine',

      schema: quarantineSchema,
    });
    this.log(renderQuarantine(body.quarantined));
    return body;
  }
}
