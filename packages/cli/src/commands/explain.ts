/** The `explain` command. */
import {Flags} from '@oclif/core';
import {
  fetchExplanation,
  type RequestExplanation,
} from '../client/explain_client.js';
import {renderExplanation} from '../output/render_explanation.js';
import {BaseCommand} from './base_command.js';

/** Prints where an entry VM would send a request now; sends none. */
export class Explain extends BaseCommand {
  static override summary =
    'Show where an entry VM would send a request now, and why, without sending it';
  static override flags = {
    entry: Flags.string({
      description: "Address of an entry VM's metrics page, http://<ip>:<port>",
      required: true,
    }),
    host: Flags.string({
      description: 'Host header of the request',
      required: true,
    }),
    path: Flags.string({description: 'Path of the request', required: true}),
    prompt: Flags.string({
      description: 'Parts of the prompt, ID:TOKENS,...; none for a plain call',
    }),
    output: Flags.integer({
      description: 'Expected tokens of the answer',
      min: 0,
    }),
    tenant: Flags.string({description: 'Name of the tenant'}),
  };

  async run(): Promise<RequestExplanation> {
    const {flags} = await this.parse(Explain);
    const {entry, host, path, prompt, output, tenant} = flags;
    const description = {
      host,
      path,
      prompt,
      output: output?.toString(),
      tenant,
    };
    const explanation = await fetchExplanation(entry, description);
    this.log(renderExplanation(explanation));
    return explanation;
  }
}
