/** The `target list` command. */
import type * as z from 'zod';
import {targetsSchema} from '../../client/response_schemas.js';
import {renderTargets} from '../../output/render_status.js';
import {OperatorCommand} from '../base_command.js';

/** Prints the state and load of the targets, as one daemon knows them. */
export class TargetList extends OperatorCommand {
  static override summary = 'List the targets as one daemon knows them';

  async run(): Promise<z.output<typeof targetsSchema>> {
    const {flags} = await this.parse(TargetList);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: '/ops/v1/targets',

      schema: targetsSchema,
    });
    this.log(renderTargets(body.targets));
    return body;
  }
}
