/** `config get`. */
import type * as z from 'zod';
import {configTextSchema} from '../../client/bodies.js';
import {OperatorCommand} from '../base_command.js';

/** Print the accepted text of the operators. */
export class ConfigGet extends OperatorCommand {
  static override summary = 'Print the accepted text of the operators';

  async run(): Promise<z.output<typeof configTextSchema>> {
    const {flags} = await this.parse(ConfigGet);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: '/ops/v1/config',

      schema: configTextSchema,
    });
    this.logToStderr(`; version ${body.version}, by ${body.author}`);
    this.log(body.text.trimEnd());
    return body;
  }
}
