/** `audit`. */
import {Flags} from '@oclif/core';
import type * as z from 'zod';
import {auditSchema} from '../client/bodies.js';
import {renderAudit} from '../output/render_change.js';
import {OperatorCommand} from './base_command.js';

/** Show what operators changed, newest first. */
export class Audit extends OperatorCommand {
  static override summary = 'Show what operators changed, newest first';
  static override flags = {
    limit: Flags.integer({
      description: 'Most records to show',
      default: 50,
      min: 1,
      max: 1000,
    }),
  };

  async run(): Promise<z.output<typeof auditSchema>> {
    const {flags} = await this.parse(Audit);
    const body = await this.getClient(flags.daemon).send({
      method: 'GET',
      path: `/ops/v1/audit?limit=${flags.limit}`,

      schema: auditSchema,
    });
    this.log(renderAudit(body.records));
    return body;
  }
}
