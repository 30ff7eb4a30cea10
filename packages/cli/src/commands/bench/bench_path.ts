/** The `bench path` command. */
import type {PathSummary} from '@marigoldpost/bench';
import {Flags} from '@oclif/core';
import {renderPath} from '../../output/render_path.js';
import {BaseCommand} from '../base_command.js';

/**
 * Measures the overhead of the request path, compared with a direct call and
 * with a bare relay.
 */
export class BenchPath extends BaseCommand {
  static override summary =
    'Compare the request path with a direct call and a bare relay';
  static override flags = {
    rounds: Flags.integer({
      description: 'Measured rounds after one warm-up round; 7 by default',
      min: 1,
    }),
  };

  async run(): Promise<PathSummary> {
    const {flags} = await this.parse(BenchPath);
    const {defaultPathOptions, measurePath, summarizePath} =
      await import('@marigoldpost/bench');
    const {rounds = defaultPathOptions.rounds} = flags;
    const measured = await measurePath({...defaultPathOptions, rounds});
    const summary = summarizePath(measured);
    this.log(renderPath(summary));
    return summary;
  }
}
