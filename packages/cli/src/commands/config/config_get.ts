/** The `config get` command. */
import type * as z from 'zod';
import {acceptedConfigSchema} from '../../client/response_schemas.js';
import {OperatorCommand} from '../base_command.js';

/**
 * Prints the accepted operators' configuration; its version goes to standard
 * error.
 */
export class ConfigGet extends OperatorCommand {
  static override summary = "Print the accepted operators' configuration";

  async run(): Promise<z.output<typeof acceptedConfigSchema>> {
    const {flags} = await this.parse(ConfigGet);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: '/ops/v1/config',

      schema: acceptedConfigSchema,
    });
    this.logToStderr(`; version ${body.version}, by ${body.author}`);
    this.log(body.text.trimEnd());
    return body;
  }
}
