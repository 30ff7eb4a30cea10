/** The `quarantine lift` command. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {quarantineLiftSchema} from '../../client/response_schemas.js';
import {OperatorCommand} from '../base_command.js';

/** Removes a request from quarantine, so that it may run again. */
export class QuarantineLift extends OperatorCommand {
  static override summary = 'Remove a request from quarantine';
  static override args = {
    fingerprint: Args.string({
      description: 'Fingerprint of the request',
      required: true,
    }),
  };

  async run(): Promise<z.output<typeof quarantineLiftSchema>> {
    const {args, flags} = await this.parse(QuarantineLift);
    const body = await this.getClient(flags.daemon).send({
      method: 'DELETE',
      path: `/ops/v1/quarantine/${encodeURIComponent(args.fingerprint)}`,

      schema: quarantineLiftSchema,
    });
    this.log(`request ${body.fingerprint} may run again`);
    return body;
  }
}
