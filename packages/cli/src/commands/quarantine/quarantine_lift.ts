/** `quarantine lift`. */
import {Args} from '@oclif/core';
import type * as z from 'zod';
import {liftedSchema} from '../../client/bodies.js';
import {OperatorCommand} from '../base_command.js';

/** Let a quarantined request run again. */
export class QuarantineLift extends OperatorCommand {
  static override summary = 'Let a quarantined request run again';
  static override args = {
    fingerprint: Args.string({
      description: 'Fingerprint of the request',
      required: true,
    }),
  };

  async run(): Promise<z.output<typeof liftedSchema>> {
    const {args, flags} = await this.parse(QuarantineLift);
    const body = await this.getClient(flags.daemon).send({
      method: 'DELETE',
      path: `/ops/v1/quarantine/${encodeURIComponent(args.fingerprint)}`,

      schema: liftedSchema,
    });
    this.log(`request ${body.fingerprint} may run again`);
    return body;
  }
}
