/** The `audit` command. */
import {Flags} from '@oclif/core';
import type * as z from 'zod';
import {auditSchema} from '../client/response_schemas.js';
import {renderAudit} from '../output/render_change.js';
import {OperatorCommand} from './base_command.js';

/** Prints the audit trail of operators' changes, newest first. */
export class Audit extends OperatorCommand {
  static override summary = 'Show the changes made by operators, newest first';
  static override flags = {
    limit: Flags.integer({
      description: 'Maximum number of records to show',
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
